//! Order of waiting work when capacity is insufficient.

use overload::{Capacity, Standing, WaitingWork, order};
use rstest::rstest;

const CORES: f64 = 100.0;

/// Returns work that takes ten cores for `run_ms` and was accepted `age_ms` ago.
fn work(run_ms: u64, objective_ms: u64, age_ms: u64, now_ms: u64) -> WaitingWork {
    let accepted_ms = now_ms - age_ms;
    WaitingWork {
        work_core_ms: 10.0 * run_ms as f64,
        cores: 10.0,
        expected_end_ms: now_ms + run_ms,
        objective_end_ms: accepted_ms + objective_ms,
        late_end_ms: accepted_ms + 3 * objective_ms,
        objective_ms,
        age_ms,
    }
}

const fn capacity(now_ms: u64) -> Capacity {
    Capacity {
        now_ms,
        cores: CORES,
        ahead_core_ms: 0.0,
        aged_cores: 0.0,
    }
}

fn standings(work: &[WaitingWork], capacity: &Capacity) -> Vec<(usize, Standing)> {
    order(work, capacity)
}

/// Guards against long work with an early latest start that makes much short work late (a burst of long work before much
/// short work).
#[test]
fn long_work_is_postponed_for_much_short_work() {
    let mut waiting = vec![work(20_000, 21_000, 0, 50_000); 2];
    waiting.extend(vec![work(1_000, 4_000, 0, 50_000); 20]);
    let order = standings(&waiting, &capacity(50_000));
    assert!(
        order[..20]
            .iter()
            .all(|(index, standing)| *index >= 2 && *standing == Standing::InTime)
    );
    assert!(order[20..].iter().all(|(_, standing)| *standing == Standing::Postponed));
}

/// Guards against postponing work that can be in time with all others (a load that fits).
#[test]
fn nothing_is_postponed_while_all_can_be_in_time() {
    let waiting: Vec<_> = (1..=20)
        .map(|number| work(100 * number, 400 * number, 0, 50_000))
        .collect();
    let order = standings(&waiting, &capacity(50_000));
    assert!(order.iter().all(|(_, standing)| *standing == Standing::InTime));
}

/// Guards against an order in which work that callers no longer need delays work that they need.
#[rstest]
#[case::in_time(work(1_000, 4_000, 0, 50_000), Standing::InTime)]
#[case::aged(work(1_000, 4_000, 2_000, 50_000), Standing::Aged)]
#[case::late(work(1_000, 4_000, 3_001, 50_000), Standing::Late)]
#[case::at_its_late_limit(work(1_000, 4_000, 11_000, 50_000), Standing::Late)]
#[case::beyond_its_late_limit(work(1_000, 4_000, 11_001, 50_000), Standing::BeyondLimit)]
fn standing_follows_from_the_expected_end(#[case] waiting: WaitingWork, #[case] standing: Standing) {
    assert_eq!(standings(&[waiting], &capacity(50_000)), [(0, standing)]);
}

/// Guards against late work that is served by age: large late work would delay all other late work.
#[test]
fn late_work_is_ordered_by_the_work_needed_and_then_by_deadline() {
    let waiting = [
        work(3_000, 4_000, 5_000, 50_000),
        work(1_000, 4_000, 4_000, 50_000),
        work(1_000, 4_000, 5_000, 50_000),
    ];
    let order: Vec<usize> = standings(&waiting, &capacity(50_000))
        .into_iter()
        .map(|(index, _)| index)
        .collect();
    assert_eq!(order, [2, 1, 0]);
}

/// Guards against aged work that takes all capacity: small work, which ages as well, would no longer be in time.
#[test]
fn aged_work_is_limited_to_its_share_of_the_capacity() {
    let waiting = vec![work(5_000, 16_000, 9_000, 50_000); 8];
    let aged = |held: f64| {
        let order = standings(
            &waiting,
            &Capacity {
                aged_cores: held,
                ..capacity(50_000)
            },
        );
        order.iter().filter(|(_, standing)| *standing == Standing::Aged).count()
    };
    assert_eq!((aged(0.0), aged(20.0), aged(50.0)), (3, 1, 0));
}

/// Guards against keeping work in time that work of higher priority will delay beyond its objective.
#[test]
fn waiting_work_of_higher_priority_counts() {
    let ahead = Capacity {
        ahead_core_ms: 10_000.0 * CORES,
        ..capacity(50_000)
    };
    assert_eq!(
        standings(&[work(1_000, 4_000, 0, 50_000)], &ahead),
        [(0, Standing::Postponed)]
    );
}
