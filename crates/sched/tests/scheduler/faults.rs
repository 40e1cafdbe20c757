//! Fault matrix: one fault strikes at one step, at each of the first occurrences of the step.
//!
//! Guards against work that runs twice, is lost, runs in part, is answered wrongly, is denied falsely, or is charged
//! without having run. docs/FAULTS.md lists the cells.

use crate::common::{Armed, Fault, Step, check, scenario};
use model::JobState;
use rstest::rstest;

/// Occurrences of a step at which the fault strikes, each in a world of its own.
const OCCURRENCES: u32 = 6;

/// Returns whether every job has to finish in spite of the fault.
///
/// The others may end a job: a non-idempotent gang of which a part was started and lost cannot run again.
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
fn cell(
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
    let mut wrong = Vec::new();
    for skip in 0..OCCURRENCES {
        let world = scenario(&[Armed::new(fault, step, skip)], None, None);
        if !world.armed[0].has_struck {
            assert!(skip > 0, "the step is never reached");
            break;
        }
        if is_masked(fault, step) {
            let rows = world.table.rows.values().map(|(row, _)| row);
            let unfinished = rows.filter(|row| row.data_centre.as_str() == "dc1" && row.state != JobState::Finished);
            wrong.extend(unfinished.map(|row| format!("occurrence {skip}: {} is {:?}", row.id(), row.state)));
        }
        wrong.extend(
            check(&world)
                .into_iter()
                .map(|wrong| format!("occurrence {skip}: {wrong}")),
        );
    }
    assert_eq!(wrong, Vec::<String>::new());
}
