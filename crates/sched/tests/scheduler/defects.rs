//! Shows that each check of the world can fail: a deliberate defect of a worker or of the table must be found.

use crate::common::{Armed, Defect, Fault, Step, World, check, job, scenario};
use rstest::rstest;

#[rstest]
#[case::second_start_of_a_repeated_command(Defect::StartsTwice, Fault::Duplicated, Step::Start, "started 2 times")]
#[case::task_without_a_lease(Defect::IgnoresLeases, Fault::WorkerKilled, Step::Run, "ran in part")]
#[case::cut_answer(Defect::CutsAnswers, Fault::Reordered, Step::Accept, "answered")]
#[case::charge_without_a_lease(Defect::ForeignCharge, Fault::Reordered, Step::Accept, "which ran nothing")]
#[case::lost_row(Defect::LosesRows, Fault::Reordered, Step::Accept, "is left")]
#[case::start_after_the_out(Defect::LosesConfig, Fault::Reordered, Step::Out, "after the out")]
fn defect_is_found(#[case] defect: Defect, #[case] fault: Fault, #[case] step: Step, #[case] expected: &str) {
    let found: Vec<String> = (0..12)
        .flat_map(|skip| check(&scenario(&[Armed::new(fault, step, skip)], None, Some(defect))))
        .collect();
    assert!(found.iter().any(|wrong| wrong.contains(expected)), "{found:#?}");
}

#[test]
fn false_proof_of_no_start_is_found() {
    let mut found = Vec::new();
    for skip in 0..24 {
        let armed = [
            Armed::new(Fault::ReplyLost, Step::Start, skip),
            Armed::new(Fault::Cancelled, Step::Start, skip),
        ];
        found.extend(check(&scenario(&armed, None, Some(Defect::ForgetsTasks))));
    }
    assert!(
        found.iter().any(|wrong| wrong.contains("said not to have run")),
        "{found:#?}"
    );
}

/// A worker that loses its memory and answers at once proves falsely that nothing started. A scheduler can tell only if
/// it saw the worker report changes before, so the platform must not restart a worker under its name within a lease.
#[rstest]
#[case::fresh(false, true)]
#[case::with_history(true, false)]
fn restarted_worker_defeats_the_proof(#[case] has_history: bool, #[case] is_defeated: bool) {
    let mut world = World::new(1, None);
    world.run(1_000);
    if has_history {
        world.submit(job("before", false, 1, 100));
    }
    world.run(4_500);
    let faults = [Fault::ReplyLost, Fault::WorkerRestarted];
    world.armed = faults.map(|fault| Armed::new(fault, Step::Start, 0)).to_vec();
    world.submit(job("once", false, 1, 1_000));
    world.run(30_000);
    let found = check(&world);
    assert_eq!(
        found.iter().any(|wrong| wrong.contains("started 2 times")),
        is_defeated,
        "{found:#?}"
    );
}
