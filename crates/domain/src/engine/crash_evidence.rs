use super::{Engine, Run};
use crate::CrashEvidence;

/// Evidence that a worker crashed under a run.
impl Engine {
    /// Time for which reports must have listed a run before a crash of its worker no longer counts as early.
    const PROBATION_MS: u64 = 500;

    /// Returns the evidence of a crash against a run that was lost with its worker.
    pub(super) fn evidence_against(&self, run: &Run) -> CrashEvidence {
        let noticed_ms = self.workers.get(run.worker).and_then(|worker| worker.noticed_silent_ms);
        let is_early = noticed_ms.is_none_or(|at_ms| at_ms < run.start_sent_ms + Self::PROBATION_MS);
        // A trial that is read from the store may have ended since it was written, and a run whose stop was confirmed may
        // not have started at all.
        if run.confirmed_ms.is_none() || run.is_recalled || run.is_void || self.may_have_completed(run, noticed_ms) {
            CrashEvidence::Unconfirmed
        } else if is_early && Self::is_on_probation(run) {
            CrashEvidence::Early
        } else if run.is_lasting && self.has_failed(run) {
            // It may have failed once more just before the crash, which lost the report of its end.
            CrashEvidence::Unconfirmed
        } else {
            CrashEvidence::Confirmed
        }
    }

    /// Returns whether a former run of the same task failed.
    fn has_failed(&self, run: &Run) -> bool {
        let failed = self
            .step_of(run)
            .zip(run.task)
            .and_then(|(state, task)| state.failed.get(task.index as usize));
        failed.is_some_and(|runs| !runs.is_empty())
    }

    /// Returns whether a run may have completed between the last report that listed it and the crash of its worker, which
    /// then lost the report of its end.
    fn may_have_completed(&self, run: &Run, noticed_ms: Option<u64>) -> bool {
        let Some((listed_ms, noticed_ms)) = run.last_listed_ms.zip(noticed_ms) else {
            return false;
        };
        // The crash came before the reply to the next renewal.
        let crashed_ms = noticed_ms.min(listed_ms + Self::RENEW_WAIT_MS);
        let remaining_ms = self.remaining_ms(run, listed_ms);
        !run.is_lasting && remaining_ms > 0 && listed_ms + remaining_ms <= crashed_ms
    }

    /// Returns whether reports have not listed a run for long enough to show that its worker outlives the start.
    pub(super) fn is_on_probation(run: &Run) -> bool {
        (!run.is_adopted || run.is_recalled)
            && run
                .last_listed_ms
                .is_none_or(|at_ms| at_ms < run.start_sent_ms + Self::PROBATION_MS)
    }
}
