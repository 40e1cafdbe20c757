use compact_str::CompactString;

use super::keys::RunKey;
use crate::{Resources, WorkerEntry};

/// What the scheduler knows of a worker.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "the facts are independent of each other")]
pub(super) struct Worker {
    pub entry: WorkerEntry,
    /// It is in the platform's list.
    pub is_listed: bool,
    /// Its row in the list of used workers is durable.
    pub is_recorded: bool,
    /// It replied in this epoch and so rejects orders of former schedulers.
    pub is_fenced: bool,
    /// When its entry last changed to leaving.
    pub draining_since_ms: Option<u64>,
    /// Least own time at which a leaving worker may be gone.
    pub leaves_ms: u64,
    pub born_unix_ms: Option<u64>,
    /// Clock of the worker and own time of that reading.
    pub clock: Option<(u64, u64)>,
    pub renew_sent_ms: Option<u64>,
    pub renew_due_ms: u64,
    /// When the oldest unanswered renewal was sent; `None` while it answers.
    pub silent_since_ms: Option<u64>,
    pub heard_ms: u64,
    /// When everything on it has surely ended if it is not heard from.
    pub lapse_ms: u64,
    /// Newest end that was processed.
    pub seen: u64,
    /// Newest end that is durable.
    pub noted: u64,
    pub runs: Vec<RunKey>,
    pub used: Resources,
    /// Distinct jobs whose runs failed here without a success since.
    pub failed_jobs: Vec<CompactString>,
    /// Work stood still or was slow here, alone or in a gang, and no run was sound since; forgotten at this time.
    pub suspect_until_ms: u64,
    /// No work until then: it fails or delays what it runs.
    pub avoid_until_ms: u64,
    /// Length of the last exclusion; doubles while trouble goes on.
    pub avoid_for_ms: u64,
    /// Renewal was answered with a refusal of the epoch.
    pub is_lost: bool,
}

impl Worker {
    pub fn new(entry: WorkerEntry, is_listed: bool, now_ms: u64) -> Self {
        Self {
            entry,
            is_listed,
            is_recorded: false,
            is_fenced: false,
            draining_since_ms: None,
            leaves_ms: 0,
            born_unix_ms: None,
            clock: None,
            renew_sent_ms: None,
            renew_due_ms: now_ms,
            silent_since_ms: None,
            heard_ms: now_ms,
            lapse_ms: 0,
            seen: 0,
            noted: 0,
            runs: Vec::new(),
            used: Resources::default(),
            failed_jobs: Vec::new(),
            suspect_until_ms: 0,
            avoid_until_ms: 0,
            avoid_for_ms: 0,
            is_lost: false,
        }
    }

    /// Returns whether it may run something for an earlier epoch and has not answered this one.
    pub const fn is_silent_holdout(&self) -> bool {
        !self.is_fenced && self.is_recorded
    }

    /// Returns whether the last sign of the worker's health was a bad one.
    pub const fn is_suspect(&self, now_ms: u64) -> bool {
        now_ms < self.suspect_until_ms || !self.failed_jobs.is_empty()
    }

    /// Returns the end of a lease of full length on the worker's clock, never longer than it grants.
    pub fn lease_until_ms(&self, now_ms: u64, lease_max_ms: u64, drift: f64) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock?;
        let elapsed = (now_ms.saturating_sub(read_ms) as f64 * (1.0 - drift)) as u64;
        Some(clock_ms + elapsed + lease_max_ms)
    }
}
