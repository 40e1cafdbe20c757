//! Speeds of workers from rates of tasks.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Normal};
use rstest::rstest;
use speed::{Speed, SpeedModel};

/// Rate of a step's tasks on a worker of speed 1, in percent per millisecond.
const RATE: f64 = 0.015;

/// Observes `steps` steps whose tasks run on eight random workers each, five tasks a worker; one task in thirty takes seven
/// times as long if there are tails.
fn observe_steps(model: &mut SpeedModel<usize, usize>, speeds: &[f64], steps: usize, has_tails: bool, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let task = Normal::new(0.0, 0.3).expect("a finite deviation");
    let size = Normal::new(0.0, 0.5).expect("a finite deviation");
    for step in 0..steps {
        let step_rate = RATE * f64::exp(size.sample(&mut random));
        for _ in 0..8 {
            let worker = random.random_range(0..speeds.len());
            for _ in 0..5 {
                let tail = if has_tails && random.random_bool(1.0 / 30.0) {
                    7.0
                } else {
                    1.0
                };
                let rate = step_rate * speeds[worker] * f64::exp(task.sample(&mut random)) / tail;
                model.observe(step, worker, rate, 0.3);
            }
        }
    }
    model.fit();
}

/// Guards against placing urgent work by estimates that do not tell slow workers from fast ones.
#[rstest]
#[case::even_tasks(false)]
#[case::long_tails(true)]
fn workers_of_three_speeds_are_told_apart(#[case] has_tails: bool) {
    let speeds: Vec<f64> = (0..60).map(|worker| [0.6, 1.0, 1.6][worker % 3]).collect();
    let mut model = SpeedModel::new();
    observe_steps(&mut model, &speeds, 60, has_tails, 7);
    let reliable: Vec<(usize, Speed)> = model.estimates().filter(|(_, speed)| speed.is_reliable()).collect();
    assert!(
        reliable.len() > 50,
        "only {} of 60 estimates are reliable",
        reliable.len()
    );
    let wrong = reliable
        .iter()
        .filter(|(worker, speed)| (speed.factor() < 0.775) != (worker % 3 == 0))
        .count();
    assert!(
        wrong <= 1,
        "{wrong} of {} workers are on the wrong side",
        reliable.len()
    );
}

/// Guards against a spread that only reflects the differences between tasks, which would change placement on workers of
/// equal speed.
#[rstest]
#[case::few_steps(10)]
#[case::many_steps(80)]
fn equal_workers_show_no_spread(#[case] steps: usize) {
    let mut model = SpeedModel::new();
    observe_steps(&mut model, &[1.0; 60], steps, true, 11);
    let spread = model.spread().expect("enough workers were observed");
    assert!(spread < 0.1, "spread of equal workers is {spread:.2}");
}

/// Guards against conclusions from a step that ran on one worker: its rate may be that of the task.
#[test]
fn a_step_on_one_worker_shows_nothing() {
    let mut model = SpeedModel::new();
    for _ in 0..20 {
        model.observe(0, 1, RATE / 3.0, 0.3);
    }
    model.fit();
    assert!(model.estimate(1).log_factor.abs() < 1e-9);
    assert!(!model.estimate(1).is_reliable());
}

/// Guards against a restarted worker that keeps the speed of its former incarnation.
#[test]
fn a_forgotten_worker_is_unknown() {
    let mut model = SpeedModel::new();
    observe_steps(
        &mut model,
        &[0.6, 1.0, 1.6, 1.0, 0.6, 1.6, 1.0, 0.6, 1.6, 1.0],
        20,
        false,
        3,
    );
    assert!(model.estimate(0).is_reliable());
    model.forget(0);
    model.fit();
    assert!(!model.estimate(0).is_reliable());
}

/// Guards against a successor that counts imported estimates again with each fit.
#[rstest]
#[case::two_workers(2)]
#[case::as_many_as_show_a_spread(60)]
fn imported_speeds_stay_as_they_are_without_observations(#[case] workers: usize) {
    let imported = |worker: usize| Speed {
        log_factor: [-0.5, 0.0, 0.5][worker % 3],
        deviation: 0.1,
    };
    let mut model = SpeedModel::<usize, usize>::new();
    for _ in 0..5 {
        for worker in 0..workers {
            model.import(worker, imported(worker));
        }
        model.fit();
    }
    for worker in 0..workers {
        let estimate = model.estimate(worker);
        assert!(
            (estimate.log_factor - imported(worker).log_factor).abs() < 0.02,
            "{estimate:?}"
        );
        assert!((estimate.deviation - 0.1).abs() < 0.01, "{estimate:?}");
    }
}

/// Guards against imported speeds that all are equal, whose spread is nothing: the estimates stay finite and even.
#[test]
fn equal_imported_speeds_show_no_spread() {
    let mut model = SpeedModel::<u32, u32>::new();
    for worker in 0..20 {
        let speed = Speed {
            log_factor: 0.02,
            deviation: 0.05,
        };
        model.import(worker, speed);
    }
    for _ in 0..5 {
        model.observe(0, 1, RATE, 0.3);
        model.fit();
    }
    assert!(model.spread().expect("enough workers are known") < 0.1);
    assert!(model.estimates().all(|(_, speed)| speed.log_factor.abs() < 0.1));
}

/// Guards against a worker that becomes unknown because others run many more tasks.
#[test]
fn a_rarely_used_worker_stays_known() {
    let speeds = [0.6, 1.0, 1.6, 1.0, 0.6, 1.6, 1.0, 0.6, 1.6, 1.0];
    let mut model = SpeedModel::new();
    observe_steps(&mut model, &speeds, 20, false, 3);
    assert!(model.estimate(0).is_reliable());
    for step in 1_000..4_000 {
        for (worker, speed) in speeds.iter().enumerate().skip(1) {
            model.observe(step, worker, RATE * speed, 0.3);
        }
        model.fit();
    }
    assert!(model.estimate(0).is_reliable() && model.estimate(0).factor() < 0.775);
}
