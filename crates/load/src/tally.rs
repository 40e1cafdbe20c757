use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::{CallOutcome, JobKind};

/// Statistics of one kind of job.
#[derive(Debug)]
pub struct Tally {
    /// Jobs submitted.
    pub submitted: u64,
    /// Jobs with a complete answer.
    pub ran: u64,
    /// Jobs that ran and failed or were cancelled.
    pub failed: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Completion times of jobs with a complete answer, in milliseconds.
    pub completion_ms: Histogram<u64>,
}

impl Tally {
    /// Longest completion time that is recorded, in milliseconds.
    const MAX_MS: u64 = 3_600_000;

    /// Records how a job ended.
    pub fn record(&mut self, outcome: &CallOutcome, took: Duration) {
        self.submitted += 1;
        match outcome {
            CallOutcome::Ran => {
                self.ran += 1;
                self.completion_ms
                    .saturating_record((took.as_millis() as u64).clamp(1, Self::MAX_MS));
            }
            CallOutcome::Failed | CallOutcome::Cancelled => self.failed += 1,
            CallOutcome::DidNotRun { code } => *self.refused.entry(code.clone()).or_default() += 1,
            CallOutcome::WrongAnswer { .. } | CallOutcome::Missing { .. } => {}
        }
    }

    /// Creates an empty tally for each kind.
    pub fn for_each_kind() -> BTreeMap<JobKind, Self> {
        JobKind::ALL.into_iter().map(|kind| (kind, Self::default())).collect()
    }
}

impl Default for Tally {
    fn default() -> Self {
        let completion_ms = Histogram::new_with_bounds(1, Self::MAX_MS, 3).expect("the bounds are valid");
        Self {
            submitted: 0,
            ran: 0,
            failed: 0,
            refused: BTreeMap::new(),
            completion_ms,
        }
    }
}
