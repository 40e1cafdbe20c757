use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use domain::{Rejection, StartCommand, StartOutcome, TaskRun};

use super::actions::COMMAND_TIMEOUT;
use crate::ports::{Target, Workers};

/// Starts without a reply, and whether each is still wanted.
#[derive(Debug, Default)]
pub(super) struct StartsInFlight(HashMap<TaskRun, Rc<Cell<bool>>>);

impl StartsInFlight {
    /// Adds a start; returns whether it is wanted, which changes when it is withdrawn.
    pub fn add(&mut self, task_run: &TaskRun) -> Rc<Cell<bool>> {
        let is_wanted = Rc::new(Cell::new(true));
        self.0.insert(task_run.clone(), Rc::clone(&is_wanted));
        is_wanted
    }

    /// Removes a start that has a reply or is not repeated any more.
    pub fn remove(&mut self, task_run: &TaskRun) {
        self.0.remove(task_run);
    }

    /// Keeps the start of a run that is to be stopped from being repeated.
    pub fn withdraw(&self, task_run: &TaskRun) {
        if let Some(is_wanted) = self.0.get(task_run) {
            is_wanted.set(false);
        }
    }

    /// Keeps all starts from being repeated, as this instance does not schedule any more.
    pub fn withdraw_all(&self) {
        self.0.values().for_each(|is_wanted| is_wanted.set(false));
    }
}

/// Maximum tries of a start command. Repeating it is safe: a worker that has the run reports so, and one on which the
/// run has ended rejects it.
const MAX_START_TRIES: u32 = 3;

/// Sends a start command until the worker replies, the tries are used up or `may_repeat` returns `false`.
pub(super) async fn start<W: Workers>(
    workers: &W,
    target: &Target,
    command: &StartCommand,
    may_repeat: impl Fn() -> bool,
) -> StartOutcome {
    let mut outcome = StartOutcome::Unanswered;
    for attempt in 0..MAX_START_TRIES {
        if attempt > 0 && !may_repeat() {
            break;
        }
        outcome = match workers.start(target, command, COMMAND_TIMEOUT).await {
            // The worker rejected this try, but an earlier one may still take effect.
            StartOutcome::Rejected(rejection) if attempt > 0 && !rules_out_earlier_try(rejection) => {
                StartOutcome::Unanswered
            }
            outcome => outcome,
        };
        if outcome != StartOutcome::Unanswered {
            break;
        }
    }
    outcome
}

/// Returns whether a rejection rules out that an earlier try of the same start takes effect.
const fn rules_out_earlier_try(rejection: Rejection) -> bool {
    matches!(
        rejection,
        Rejection::Fenced | Rejection::Old | Rejection::OtherIncarnation
    )
}
