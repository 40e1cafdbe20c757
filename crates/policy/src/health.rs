use smallvec::SmallVec;

use crate::JobKey;

/// Recent task results of a worker, from which quarantine is decided.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Newest last.
    results: SmallVec<[TaskResult; 10]>,
    pub probe: Option<JobKey>,
    pub next_probe_ms: u64,
    /// When the worker was put into quarantine.
    pub quarantined_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct TaskResult {
    job: JobKey,
    organisation: u16,
    failed: bool,
}

impl Health {
    /// Number of recent tasks over which the failure ratio is computed.
    const WINDOW: usize = 10;
    /// Distinct failed jobs that quarantine a worker if they belong to several organisations.
    const MIN_JOBS_OF_SEVERAL_ORGS: usize = 3;
    /// Distinct failed jobs that quarantine a worker if all belong to one organisation, whose jobs may be the cause.
    const MIN_JOBS_OF_ONE_ORG: usize = 5;
    /// Time between probes of a quarantined worker.
    pub const PROBE_INTERVAL_MS: u64 = 30_000;
    /// Time after which a worker that no job could probe returns on probation, so that work that is not idempotent does
    /// not wait for it indefinitely.
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
        let affects_several_orgs = jobs.len() >= Self::MIN_JOBS_OF_SEVERAL_ORGS && organisations.len() >= 2;
        (affects_several_orgs || jobs.len() >= Self::MIN_JOBS_OF_ONE_ORG) && failures * 5 > self.results.len() * 4
    }
}
