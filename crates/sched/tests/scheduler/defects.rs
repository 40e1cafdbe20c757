//! Guards against checks that cannot fail: each has to find a deliberate defect of a worker, table or configuration.

use crate::common::{ArmedFault, Defect, Fault, FirstFitSimulation, Step, check, job, scenario};
use rstest::rstest;

#[rstest]
#[case::second_start_of_a_repeated_command(Defect::StartsTwice, Fault::Duplicated, Step::Start, "started 2 times")]
#[case::task_without_a_lease(Defect::IgnoresLeases, Fault::WorkerKilled, Step::Run, "ran in part")]
#[case::cut_answer(Defect::CutsAnswers, Fault::Reordered, Step::Accept, "has the wrong answer")]
#[case::charge_without_a_lease(Defect::ChargesUnknownLease, Fault::Reordered, Step::Accept, "which ran no task")]
#[case::lost_row(Defect::LosesRows, Fault::Reordered, Step::Accept, "is not final")]
#[case::start_after_out_of_service(Defect::LosesConfig, Fault::Reordered, Step::Out, "was taken out")]
fn defect_is_found(#[case] defect: Defect, #[case] fault: Fault, #[case] step: Step, #[case] expected: &str) {
    let found: Vec<String> = (0..12)
        .flat_map(|skip| check(&scenario(&[ArmedFault::new(fault, step, skip)], None, Some(defect))))
        .collect();
    assert!(found.iter().any(|violation| violation.contains(expected)), "{found:#?}");
}

/// A worker that forgets ended tasks makes the scheduler deny a start whose reply was lost.
#[test]
fn start_reported_as_not_run_is_found() {
    let mut found = Vec::new();
    for skip in 0..24 {
        let armed = [
            ArmedFault::new(Fault::ReplyLost, Step::Start, skip),
            ArmedFault::new(Fault::Cancelled, Step::Start, skip),
        ];
        found.extend(check(&scenario(&armed, None, Some(Defect::ForgetsTasks))));
    }
    assert!(
        found.iter().any(|violation| violation.contains("reported as not run")),
        "{found:#?}"
    );
}

/// A worker that restarts without state and answers at once reports falsely that nothing started. The scheduler detects
/// this only if the worker reported changes before, so the platform must not restart a worker under the same id within
/// a lease.
#[rstest]
#[case::fresh(false, true)]
#[case::with_history(true, false)]
fn worker_restarted_within_a_lease_can_cause_a_second_start(#[case] has_history: bool, #[case] starts_twice: bool) {
    let mut sim = FirstFitSimulation::new(1, None);
    sim.run_until(1_000);
    if has_history {
        sim.submit(job("before", false, 1, 100));
    }
    sim.run_until(4_500);
    let faults = [Fault::ReplyLost, Fault::WorkerRestarted];
    sim.armed = faults.map(|fault| ArmedFault::new(fault, Step::Start, 0)).to_vec();
    sim.submit(job("once", false, 1, 1_000));
    sim.run_until(30_000);
    let found = check(&sim);
    assert_eq!(
        found.iter().any(|violation| violation.contains("started 2 times")),
        starts_twice,
        "{found:#?}"
    );
}
