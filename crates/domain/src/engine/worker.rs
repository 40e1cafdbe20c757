use std::collections::VecDeque;

use compact_str::CompactString;

use super::keys::RunKey;
use super::listed_starts::ListedStart;
use crate::{Resources, WorkerEntry};

/// Scheduler's view of a worker.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "the facts are independent of each other")]
pub(super) struct Worker {
    pub entry: WorkerEntry,
    /// The platform lists it.
    pub is_listed: bool,
    /// Its row among the used workers is durable.
    pub is_recorded: bool,
    /// It replied in this epoch and therefore rejects commands of former schedulers.
    pub is_fenced: bool,
    /// The former scheduler wrote down which runs may be on it.
    pub has_known_runs: bool,
    /// Its entry names a newer incarnation than its last report; it gets no new work until that incarnation reports.
    pub is_restart_pending: bool,
    /// The incarnation that its entry names as the former one was draining when it ended.
    pub was_former_draining: bool,
    /// When its entry last changed to draining.
    pub draining_since_ms: Option<u64>,
    /// Earliest time, on the scheduler's clock, at which a draining worker may exit.
    pub earliest_exit_ms: u64,
    pub process_started_unix_ms: Option<u64>,
    /// Last reading of the worker's clock, and the scheduler's time of that reading.
    pub clock: Option<(u64, u64)>,
    pub renew_sent_ms: Option<u64>,
    pub renew_due_ms: u64,
    /// When the oldest unanswered renewal was sent; `None` while the worker replies.
    pub unresponsive_since_ms: Option<u64>,
    /// When the first of the unanswered renewals failed, which a crash does at once if it breaks the connection.
    pub noticed_silent_ms: Option<u64>,
    pub last_reply_ms: u64,
    /// When the leases of all its runs have certainly expired if it does not reply again.
    pub lease_expiry_ms: u64,
    /// The loss of its runs waits until the scheduling lease is certain.
    pub is_loss_deferred: bool,
    /// Number of the newest run end that was processed.
    pub processed_end: u64,
    /// Number of the newest run end that is durable and may be acknowledged.
    pub acked_end: u64,
    pub runs: Vec<RunKey>,
    pub used: Resources,
    /// Part of `used` that tasks take which run until their jobs are cancelled.
    pub used_by_lasting: Resources,
    /// Number of its runs whose resources are not known; while there is one, nothing is placed on it.
    pub runs_of_unknown_need: u32,
    /// The row about its last runs names one that has ended although its task is not done.
    pub is_row_outdated: bool,
    /// Number of its runs that no durable row about its last runs contains.
    pub unlisted_runs: u32,
    /// Number of start commands that it has not answered yet.
    pub starts_in_flight: usize,
    /// Number of stop commands that it has not answered yet.
    pub stops_in_flight: usize,
    /// Number of throttle commands that it has not answered yet.
    pub throttles_in_flight: usize,
    /// Throttles were left out, as too many were in flight.
    pub awaits_throttles: bool,
    /// Starts that wait until fewer commands are in flight, in the order in which they were placed.
    pub waiting_starts: VecDeque<ListedStart>,
    /// Number of its runs of suspect tasks that are on probation; while there is one, nothing else is placed on it.
    pub isolated_runs: u32,
    /// Its process, or the one before at its address, crashed, and no run has outlived its probation since.
    pub has_crashed: bool,
    /// Distinct jobs whose runs failed here since the last success.
    pub failed_jobs: Vec<CompactString>,
    /// A run, alone or in a gang, stalled or was slow here and none was healthy since; expires at this time.
    pub suspect_until_ms: u64,
    /// It gets no new work before this time, as it fails or delays its runs.
    pub excluded_until_ms: u64,
    /// It gets no new work before this time, as it refused a command or could not be reached.
    pub refuses_until_ms: u64,
    /// Length of the last exclusion; doubles while failures continue.
    pub exclusion_ms: u64,
}

impl Worker {
    pub fn new(entry: WorkerEntry, is_listed: bool, now_ms: u64) -> Self {
        Self {
            entry,
            is_listed,
            is_recorded: false,
            is_fenced: false,
            has_known_runs: false,
            is_restart_pending: false,
            was_former_draining: false,
            draining_since_ms: None,
            earliest_exit_ms: 0,
            process_started_unix_ms: None,
            clock: None,
            renew_sent_ms: None,
            renew_due_ms: now_ms,
            unresponsive_since_ms: None,
            noticed_silent_ms: None,
            last_reply_ms: now_ms,
            lease_expiry_ms: 0,
            is_loss_deferred: false,
            processed_end: 0,
            acked_end: 0,
            runs: Vec::new(),
            used: Resources::default(),
            used_by_lasting: Resources::default(),
            runs_of_unknown_need: 0,
            is_row_outdated: false,
            unlisted_runs: 0,
            starts_in_flight: 0,
            stops_in_flight: 0,
            throttles_in_flight: 0,
            awaits_throttles: false,
            waiting_starts: VecDeque::new(),
            isolated_runs: 0,
            has_crashed: false,
            failed_jobs: Vec::new(),
            suspect_until_ms: 0,
            excluded_until_ms: 0,
            refuses_until_ms: 0,
            exclusion_ms: 0,
        }
    }

    /// Returns whether its entry is that of a process before the one that reported last, which may have been of another kind.
    pub fn is_entry_outdated(&self) -> bool {
        let reported = self.process_started_unix_ms;
        matches!((self.entry.process_started_unix_ms, reported), (Some(entered), Some(reported)) if entered < reported)
    }

    /// Returns what it can hold once all its runs have ended that end by themselves.
    pub const fn drained_capacity(&self) -> Resources {
        self.entry.capacity.left_beside(&self.used_by_lasting)
    }

    /// Returns whether it may hold unknown runs of an earlier epoch, as it has not replied in this one.
    pub const fn may_hold_unreported_runs(&self) -> bool {
        !self.is_fenced && self.is_recorded && !self.has_known_runs
    }

    /// Returns whether the latest evidence of the worker's health was a failure or slowness.
    pub const fn is_suspect(&self, now_ms: u64) -> bool {
        now_ms < self.suspect_until_ms || !self.failed_jobs.is_empty()
    }

    /// Returns the end of a full-length lease on the worker's clock, never longer than the worker grants.
    pub fn lease_until_ms(&self, now_ms: u64, lease_max_ms: u64, drift: f64) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock?;
        let elapsed = (now_ms.saturating_sub(read_ms) as f64 * (1.0 - drift)) as u64;
        Some(clock_ms + elapsed + lease_max_ms)
    }
}
