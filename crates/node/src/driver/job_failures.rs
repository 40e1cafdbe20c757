use std::collections::HashMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Durable count of the schedulers that failed while they handled a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobFailuresRow {
    pub failures: u32,
}

/// Jobs in whose handling schedulers failed.
///
/// A job that makes each holder of the lease fail would keep all others from being scheduled. After some failures it
/// is given up.
#[derive(Debug, Default)]
pub(super) struct JobFailures(HashMap<CompactString, (JobFailuresRow, u64)>);

impl JobFailures {
    /// Failures after which a job is given up; a single one may have had another cause.
    const MAX_FAILURES: u32 = 2;

    /// Adds a row with its version.
    pub fn add(&mut self, job: CompactString, row: JobFailuresRow, version: u64) {
        self.0.insert(job, (row, version));
    }

    /// Returns whether there is a row about a job.
    pub fn contains(&self, job: &str) -> bool {
        self.0.contains_key(job)
    }

    /// Returns the row after one more failure, and the version of the current row; 0 if there is none.
    pub fn next_row(&self, job: &str) -> (JobFailuresRow, u64) {
        let (row, version) = self.0.get(job).copied().unwrap_or_default();
        let failures = row.failures.saturating_add(1);
        (JobFailuresRow { failures }, version)
    }

    /// Returns the failures of a job that has to be given up.
    pub fn too_many(&self, job: &str) -> Option<u32> {
        let (row, _) = self.0.get(job)?;
        (row.failures >= Self::MAX_FAILURES).then_some(row.failures)
    }
}
