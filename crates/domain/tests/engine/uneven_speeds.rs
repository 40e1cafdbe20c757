//! Load on workers of which some are faster for good than others.

use compact_str::CompactString;
use domain::{JobState, Route};
use rstest::rstest;

use crate::simulation::{Simulation, job, step};

/// Speeds of the workers of each rack, in order.
pub const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

/// Returns a configuration with a route for urgent work.
pub fn config() -> domain::Config {
    domain::Config {
        version: 2,
        routes: vec![Route {
            name: "route-0".into(),
            priority: 0,
            objective_factor: 1.5,
            objective_ms: 250,
            ..Route::default()
        }],
        ..domain::Config::default()
    }
}

/// Starts two racks of nine workers and runs wide steps on them until the speeds of all workers are known.
pub fn simulation(speeds: [f64; 3]) -> Simulation {
    let mut sim = Simulation::new(2, 9);
    for (number, worker) in sim.workers.values_mut().enumerate() {
        worker.speed = speeds[number % speeds.len()];
    }
    sim.engine.set_config(config());
    for id in ["aa", "ab"] {
        let wide = sim.submit(job(id, 1, step(72, 2, 2_000)));
        sim.run_until(12_000, |sim| sim.state(&wide) == JobState::Done);
    }
    sim
}

/// Returns the speeds of the workers on which a job runs.
pub fn speeds_of(sim: &Simulation, job: &CompactString) -> Vec<f64> {
    let workers = sim.workers_of(job).into_iter();
    workers.map(|worker| sim.workers[&worker].speed).collect()
}

pub fn urgent_gang(id: &str, count: u32) -> domain::Job {
    let mut gang = step(count, 8, 2_000);
    gang.is_gang = true;
    gang.is_same_rack = true;
    let mut urgent = job(id, 0, gang);
    urgent.objective_factor = 1.5;
    urgent.objective_ms = 250;
    urgent
}

/// Guards against urgent gangs with a slow member, which miss their objective although there is room on faster workers
/// (quiet load, free capacity).
#[rstest]
#[case::narrow(2)]
#[case::as_wide_as_the_fast_part_of_a_rack(6)]
fn urgent_gangs_start_without_slow_members(#[case] count: u32) {
    let mut sim = simulation(SPEEDS);
    let gang = sim.submit(urgent_gang("b", count));
    sim.run_for(300);
    let speeds = speeds_of(&sim, &gang);
    assert_eq!(speeds.len(), count as usize);
    assert!(speeds.iter().all(|speed| *speed >= 1.0), "{speeds:?}");
    sim.assert_no_violations();
}

/// Guards against a gang that waits for fast workers although it fits on others: speed orders workers and excludes none.
#[test]
fn a_gang_that_fits_only_with_slow_members_starts() {
    let mut sim = simulation(SPEEDS);
    let gang = sim.submit(urgent_gang("b", 9));
    sim.run_for(300);
    assert_eq!(speeds_of(&sim, &gang).len(), 9);
    sim.assert_no_violations();
}

/// Guards against long work on the fast workers, which urgent work then lacks (steady load of work with slack).
#[test]
fn work_with_slack_leaves_fast_workers_free() {
    let mut sim = simulation(SPEEDS);
    let batch = sim.submit(job("b", 2, step(24, 2, 3_000)));
    sim.run_for(300);
    let speeds = speeds_of(&sim, &batch);
    assert_eq!(speeds.len(), 6);
    assert!(speeds.iter().all(|speed| *speed < 1.0), "{speeds:?}");
    let gang = sim.submit(urgent_gang("c", 6));
    sim.run_for(300);
    let speeds = speeds_of(&sim, &gang);
    assert!(
        speeds.len() == 6 && speeds.iter().all(|speed| *speed >= 1.0),
        "{speeds:?}"
    );
    sim.assert_no_violations();
}

/// Guards against placement that changes although workers are equal: the fullest workers are filled first.
#[test]
fn equal_workers_are_filled_one_after_the_other() {
    let mut sim = simulation([1.0; 3]);
    let batch = sim.submit(job("b", 2, step(8, 2, 3_000)));
    sim.run_for(300);
    let mut workers = sim.workers_of(&batch);
    workers.sort();
    workers.dedup();
    assert_eq!(workers.len(), 2, "{workers:?}");
    assert!(!sim.log_lines.iter().any(|line| line.contains("is_uneven=true")));
    sim.assert_no_violations();
}

/// Guards against stopping a gang whose tasks take many times as long as usual: elsewhere it takes as long.
#[test]
fn a_gang_of_long_tasks_is_not_moved() {
    let mut sim = simulation(SPEEDS);
    for number in 0..8 {
        let usual = sim.submit(urgent_gang(&format!("c{number}"), 2));
        sim.run_until(6_000, |sim| sim.state(&usual) == JobState::Done);
    }
    for worker in sim.workers.values_mut() {
        worker.real_work_ms = Some(14_000);
    }
    let long = sim.submit(urgent_gang("d", 4));
    sim.run_until(30_000, |sim| sim.state(&long) == JobState::Done);
    let moved = sim.log_lines.iter().filter(|line| line.contains(" run_moved "));
    assert_eq!(moved.count(), 0);
    sim.assert_no_violations();
}

/// Guards against learning the run times on slow workers as those of the tasks, which shifts all objectives.
#[test]
fn forecasts_do_not_depend_on_the_workers_that_ran_the_tasks() {
    let mut sim = simulation(SPEEDS);
    // Six such tasks fill the slow workers.
    let batch = |id: &str| job(id, 2, step(6, 8, 2_000));
    let objective_ms = |sim: &mut Simulation, id: &CompactString| {
        let now_ms = sim.now_ms;
        let explanation = sim.engine.explain(id, now_ms).expect("the job is open");
        explanation.objective_ms
    };
    let first = sim.submit(batch("e"));
    let before_ms = objective_ms(&mut sim, &first);
    sim.run_until(8_000, |sim| sim.state(&first) == JobState::Done);
    for number in 0..4 {
        let next = sim.submit(batch(&format!("f{number}")));
        sim.run_for(300);
        assert!(speeds_of(&sim, &next).iter().all(|speed| *speed < 1.0));
        sim.run_until(8_000, |sim| sim.state(&next) == JobState::Done);
    }
    let last = sim.submit(batch("ab0"));
    let after_ms = objective_ms(&mut sim, &last);
    assert!(after_ms.abs_diff(before_ms) * 5 < before_ms, "{before_ms} {after_ms}");
}
