use std::collections::VecDeque;

use compact_str::CompactString;

/// Final jobs whose rows are still in the store.
#[derive(Debug, Clone, Default)]
pub(super) struct FinishedJobs {
    /// Ended since the last look.
    fresh: Vec<CompactString>,
    /// Own time from which the rows may go, oldest first.
    waiting: VecDeque<(u64, CompactString)>,
}

impl FinishedJobs {
    pub fn push(&mut self, job: CompactString) {
        self.fresh.push(job);
    }

    /// Dates what ended since the last look.
    pub fn date(&mut self, now_ms: u64, keep_ms: u64) {
        self.waiting
            .extend(self.fresh.drain(..).map(|job| (now_ms + keep_ms, job)));
    }

    /// Returns the oldest jobs whose rows may go, at most `most`.
    pub fn due(&self, now_ms: u64, most: usize) -> Vec<CompactString> {
        let due = self.waiting.iter().take_while(|(due_ms, _)| *due_ms <= now_ms);
        due.take(most).map(|(_, job)| job.clone()).collect()
    }

    /// Notes that the rows of these jobs are gone.
    pub fn removed(&mut self, jobs: &[CompactString]) {
        self.waiting.retain(|(_, job)| !jobs.contains(job));
    }
}
