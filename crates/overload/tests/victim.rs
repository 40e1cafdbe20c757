//! Cost of stopping a run.

use overload::{Victim, victim_cost};
use rstest::rstest;

const VICTIM: Victim = Victim {
    unsaved_core_ms: 1_000,
    work_core_ms: 50_000,
    end_ms: 10_000,
    restarted_end_ms: 14_000,
    objective_end_ms: 20_000,
    late_end_ms: 60_000,
};

/// Guards against stopping work that would then miss its objective while work with slack costs as much.
#[rstest]
#[case::with_slack(VICTIM, 1_000)]
#[case::would_miss_its_objective(Victim { objective_end_ms: 12_000, ..VICTIM }, 51_000)]
#[case::would_miss_both_limits(Victim { objective_end_ms: 12_000, late_end_ms: 13_000, ..VICTIM }, 101_000)]
#[case::is_late_and_would_miss_its_late_limit(Victim { objective_end_ms: 5_000, late_end_ms: 13_000, ..VICTIM }, 51_000)]
#[case::is_beyond_its_late_limit(Victim { objective_end_ms: 2_000, late_end_ms: 6_000, ..VICTIM }, 1_000)]
fn cost_grows_with_each_limit_that_is_missed(#[case] victim: Victim, #[case] cost: u64) {
    assert_eq!(victim_cost(&victim), cost);
}
