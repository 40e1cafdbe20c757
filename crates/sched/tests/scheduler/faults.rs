//! Fault matrix: one fault is injected at one step, at each of the first occurrences of the step.
//!
//! Guards against work that runs twice, is lost, runs in part, gets a wrong answer, is reported as not run although it
//! started, or is charged without having run. docs/FAULTS.md lists the cells.

use crate::common::{ArmedFault, Fault, Step, check, scenario};
use model::JobState;
use rstest::rstest;

/// Occurrences of a step at which the fault is injected, each in a simulation of its own.
const OCCURRENCES: u32 = 6;

/// Returns whether every job has to finish in spite of the fault.
///
/// Other faults may end a job: a non-idempotent gang of which a part was started and lost cannot run again.
fn is_masked(fault: Fault, step: Step) -> bool {
    match fault {
        Fault::WorkerKilled | Fault::WorkerFrozen | Fault::WorkerFailsAll | Fault::WorkerCutOff | Fault::Cancelled => {
            false
        }
        Fault::HolderKilled | Fault::HolderFrozen | Fault::HolderPaused | Fault::RequestLost | Fault::Delayed => {
            !matches!(step, Step::Start | Step::Out)
        }
        _ => step != Step::Out,
    }
}

#[rstest]
fn single_fault(
    #[values(
        Fault::HolderKilled,
        Fault::HolderFrozen,
        Fault::HolderPaused,
        Fault::WorkerKilled,
        Fault::WorkerFrozen,
        Fault::WorkerFailsAll,
        Fault::WorkerCutOff,
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::RequestLost,
        Fault::ReplyLost,
        Fault::Delayed,
        Fault::Duplicated,
        Fault::Reordered,
        Fault::ListStale,
        Fault::SubmittedTwice,
        Fault::Cancelled
    )]
    fault: Fault,
    #[values(
        Step::Accept,
        Step::Record,
        Step::Reserve,
        Step::Start,
        Step::Run,
        Step::Checkpoint,
        Step::Report,
        Step::Release,
        Step::Answer,
        Step::Charge,
        Step::Out,
        Step::Leaving,
        Step::Stop
    )]
    step: Step,
) {
    let mut violations = Vec::new();
    for skip in 0..OCCURRENCES {
        let sim = scenario(&[ArmedFault::new(fault, step, skip)], None, None);
        if !sim.armed[0].is_injected {
            assert!(skip > 0, "the step is never reached");
            break;
        }
        if is_masked(fault, step) {
            let rows = sim.table.rows.values().map(|(row, _)| row);
            let unfinished = rows.filter(|row| row.data_centre.as_str() == "dc1" && row.state != JobState::Finished);
            violations.extend(unfinished.map(|row| format!("occurrence {skip}: {} is {:?}", row.id(), row.state)));
        }
        violations.extend(
            check(&sim)
                .into_iter()
                .map(|violation| format!("occurrence {skip}: {violation}")),
        );
    }
    assert_eq!(violations, Vec::<String>::new());
}
