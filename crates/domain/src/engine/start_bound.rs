use super::Engine;
use super::job_entry::JobEntry;
use crate::{Action, StartBoundRow};

/// Durable upper bound on the store versions of jobs that this epoch may have started.
///
/// A job is started only after the store confirmed a bound that is not below the job's version, so that a successor
/// that cannot reach all workers knows which jobs no former scheduler can have started. It also says whether each start
/// is listed in the row of its worker, so that the successor knows which tasks may be on a worker that it cannot reach.
/// While the store is slow, the bound is lifted and starts are not listed, so that they do not wait for the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartBound {
    /// Bound of the former epochs; `None` if the store holds none, so that they may have started any job.
    former: Option<u64>,
    /// The former epochs listed all their starts.
    did_list_runs: bool,
    /// Jobs above this version are not started; the bound in the store is not lower.
    confirmed: u64,
    /// The store says that all starts are listed.
    are_runs_listed: bool,
    /// The store may say so, as it does or the outcome of a write is unknown.
    may_say_listed: bool,
    /// Version of the newest open job that was read.
    requested: u64,
    sent_ms: Option<u64>,
    retry_ms: u64,
    unbounded_until_ms: u64,
}

impl StartBound {
    /// Bound that does not delay any start.
    const UNBOUNDED: u64 = u64::MAX;

    /// Pause after a write that failed.
    const RETRY_MS: u64 = 50;

    /// Write latency above which the store counts as slow; it normally answers within milliseconds.
    const SLOW_WRITE_MS: u64 = 60;

    /// Time for which the bound stays lifted after a slow or failed write.
    const UNBOUNDED_MS: u64 = 5_000;

    pub const fn new() -> Self {
        Self {
            former: None,
            did_list_runs: false,
            confirmed: 0,
            are_runs_listed: false,
            may_say_listed: false,
            requested: 0,
            sent_ms: None,
            retry_ms: 0,
            unbounded_until_ms: 0,
        }
    }

    /// Requests a bound that includes a job.
    pub fn request(&mut self, inserted_version: u64) {
        self.requested = self.requested.max(inserted_version);
    }

    /// Returns whether a job may be started.
    pub const fn allows(&self, job: &JobEntry) -> bool {
        job.inserted_version <= self.confirmed
    }

    /// Returns whether a former epoch may have started a job.
    pub fn may_have_started_before(&self, job: &JobEntry) -> bool {
        self.former.is_none_or(|former| job.inserted_version <= former)
    }

    /// Returns whether the former epochs listed all their starts.
    pub const fn did_list_runs(&self) -> bool {
        self.did_list_runs
    }

    /// Returns whether a start has to wait until its run is listed.
    pub const fn requires_listing(&self, now_ms: u64) -> bool {
        self.may_say_listed || now_ms >= self.unbounded_until_ms
    }

    /// Returns whether the store is to say that all starts are listed, and may not say so yet.
    const fn awaits_listing(&self, now_ms: u64) -> bool {
        !self.may_say_listed && now_ms >= self.unbounded_until_ms
    }

    /// Returns the row to write, if any. `are_runs_listed` says whether all runs are listed.
    fn due(&mut self, are_runs_listed: bool, now_ms: u64) -> Option<StartBoundRow> {
        if self.sent_ms.is_some() || now_ms < self.retry_ms {
            return None;
        }
        let is_lifted = now_ms < self.unbounded_until_ms;
        let row = StartBoundRow {
            version: if is_lifted { Self::UNBOUNDED } else { self.requested },
            // Once the store says so, no start goes without.
            are_runs_listed: !is_lifted && (self.may_say_listed || are_runs_listed),
        };
        let is_listing_written =
            self.may_say_listed == row.are_runs_listed && self.are_runs_listed == row.are_runs_listed;
        if self.confirmed == Self::UNBOUNDED && !is_lifted {
            // From now on, the store may hold the lower bound.
            self.confirmed = row.version;
        } else if row.version <= self.confirmed && is_listing_written {
            return None;
        }
        self.may_say_listed |= row.are_runs_listed;
        self.are_runs_listed &= row.are_runs_listed;
        self.sent_ms = Some(now_ms);
        Some(row)
    }

    fn written(&mut self, row: StartBoundRow, is_confirmed: bool, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(self.sent_ms.take().unwrap_or(now_ms));
        if is_confirmed {
            self.confirmed = self.confirmed.max(row.version);
            self.are_runs_listed = row.are_runs_listed;
            self.may_say_listed = row.are_runs_listed;
            self.observe(took_ms, now_ms);
        } else {
            self.retry_ms = now_ms + Self::RETRY_MS;
            self.lift(now_ms);
        }
    }

    /// Lifts the bound for some time.
    pub const fn lift(&mut self, now_ms: u64) {
        self.unbounded_until_ms = now_ms + Self::UNBOUNDED_MS;
    }

    /// Takes the latency of a write to the store; a slow write lifts the bound before a start has to wait for it.
    pub fn observe(&mut self, took_ms: u64, now_ms: u64) {
        if took_ms > Self::SLOW_WRITE_MS {
            self.lift(now_ms);
        }
    }
}

/// Start bound.
impl Engine {
    /// Sets the bound of the former epochs, as read from the store.
    pub fn set_former_start_bound(&mut self, row: Option<StartBoundRow>) {
        let bound = &mut self.start_bound;
        bound.former = row.map(|row| row.version);
        bound.confirmed = bound.confirmed.max(bound.former.unwrap_or(0));
        bound.did_list_runs = row.is_some_and(|row| row.are_runs_listed);
        bound.are_runs_listed = bound.did_list_runs;
        bound.may_say_listed = bound.did_list_runs;
    }

    /// Handles the outcome of writing a bound.
    pub fn start_bound_written(&mut self, row: StartBoundRow, is_confirmed: bool, now_ms: u64) {
        self.start_bound.written(row, is_confirmed, now_ms);
        self.is_schedule_due |= is_confirmed;
    }

    pub(super) fn write_start_bound(&mut self, now_ms: u64) {
        if !self.is_loaded {
            // Former epochs may have started jobs that are not loaded yet.
            return;
        }
        let are_runs_listed = self.start_bound.awaits_listing(now_ms) && self.are_all_runs_listed(now_ms);
        if let Some(row) = self.start_bound.due(are_runs_listed, now_ms) {
            self.actions.push(Action::WriteStartBound { row });
        }
    }
}
