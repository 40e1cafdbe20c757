use std::collections::{HashSet, VecDeque};

use compact_str::CompactString;

/// Final jobs whose rows are still in the store.
#[derive(Debug, Clone, Default)]
pub(super) struct FinishedJobs {
    ids: HashSet<CompactString>,
    /// Jobs that became final since the due times were last assigned.
    undated: Vec<CompactString>,
    /// Time from which the rows of a job may be deleted, oldest first.
    waiting: VecDeque<(u64, CompactString)>,
}

impl FinishedJobs {
    pub fn push(&mut self, job: CompactString) {
        if self.ids.insert(job.clone()) {
            self.undated.push(job);
        }
    }

    /// Returns whether a job is final and its rows are still in the store.
    pub fn contains(&self, job: &str) -> bool {
        self.ids.contains(job)
    }

    /// Assigns due times to the jobs that became final since the last call.
    pub fn assign_due_times(&mut self, now_ms: u64, keep_ms: u64) {
        self.waiting
            .extend(self.undated.drain(..).map(|job| (now_ms + keep_ms, job)));
    }

    /// Returns the oldest jobs whose rows may be deleted, at most `limit`.
    pub fn due(&self, now_ms: u64, limit: usize) -> Vec<CompactString> {
        let due = self.waiting.iter().take_while(|(due_ms, _)| *due_ms <= now_ms);
        due.take(limit).map(|(_, job)| job.clone()).collect()
    }

    /// Removes jobs whose rows were deleted.
    pub fn removed(&mut self, jobs: &[CompactString]) {
        if jobs.is_empty() {
            return;
        }
        for job in jobs {
            self.ids.remove(job);
        }
        self.waiting.retain(|(_, job)| !jobs.contains(job));
    }
}
