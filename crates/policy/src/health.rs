use smallvec::SmallVec;

use crate::JobKey;

/// Last results of a worker, from which quarantine is decided.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Newest last.
    results: SmallVec<[TaskResult; 10]>,
    pub probe: Option<JobKey>,
    pub next_probe_ms: u64,
    /// When the worker was put into quarantine.
    pub since_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct TaskResult {
    job: JobKey,
    organisation: u16,
    failed: bool,
}

impl Health {
    /// Tasks that the failure ratio is taken over.
    const WINDOW: usize = 10;
    /// Distinct failed jobs that suffice if they are of several organisations.
    const JOBS_OF_SEVERAL: usize = 3;
    /// Distinct failed jobs that suffice if they are all of one organisation, which may itself be at fault.
    const JOBS_OF_ONE: usize = 5;
    /// Time between probes of a quarantined worker.
    pub const PROBE_INTERVAL_MS: u64 = 30_000;
    /// Time after which a worker that nothing could probe returns on probation, lest work that is not idempotent waits
    /// for it for ever.
    pub const UNPROBED_MS: u64 = 300_000;

    pub fn record(&mut self, job: JobKey, organisation: u16, failed: bool) {
        if self.results.len() == Self::WINDOW {
            self.results.remove(0);
        }
        self.results.push(TaskResult {
            job,
            organisation,
            failed,
        });
    }

    pub fn clear(&mut self) {
        self.results.clear();
        self.probe = None;
    }

    pub fn is_failing(&self) -> bool {
        let mut jobs: SmallVec<[JobKey; 10]> = SmallVec::new();
        let mut organisations: SmallVec<[u16; 10]> = SmallVec::new();
        let mut failures = 0;
        for result in self.results.iter().filter(|result| result.failed) {
            failures += 1;
            if !jobs.contains(&result.job) {
                jobs.push(result.job);
            }
            if !organisations.contains(&result.organisation) {
                organisations.push(result.organisation);
            }
        }
        let wide = jobs.len() >= Self::JOBS_OF_SEVERAL && organisations.len() >= 2;
        (wide || jobs.len() >= Self::JOBS_OF_ONE) && failures * 5 > self.results.len() * 4
    }
}
