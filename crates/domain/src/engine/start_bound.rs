use super::Engine;
use super::job_entry::JobEntry;
use crate::Action;

/// Durable upper bound on the store versions of jobs that this epoch may have started.
///
/// A job is started only after the store confirmed a bound that is not below the job's version, so that a successor
/// that cannot reach all workers knows which jobs no former scheduler can have started. While the store is slow, the
/// bound is lifted so that starts do not wait for the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartBound {
    /// Bound of the former epochs; `None` if the store holds none, so that they may have started any job.
    former: Option<u64>,
    /// Jobs above this version are not started; the bound in the store is not lower.
    confirmed: u64,
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
            confirmed: 0,
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

    fn due(&mut self, now_ms: u64) -> Option<u64> {
        if self.sent_ms.is_some() || now_ms < self.retry_ms {
            return None;
        }
        let version = if now_ms < self.unbounded_until_ms {
            Self::UNBOUNDED
        } else {
            self.requested
        };
        if self.confirmed == Self::UNBOUNDED && version != Self::UNBOUNDED {
            // From now on, the store may hold the lower bound.
            self.confirmed = version;
        } else if version <= self.confirmed {
            return None;
        }
        self.sent_ms = Some(now_ms);
        Some(version)
    }

    fn written(&mut self, version: u64, is_confirmed: bool, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(self.sent_ms.take().unwrap_or(now_ms));
        if is_confirmed {
            self.confirmed = self.confirmed.max(version);
        } else {
            self.retry_ms = now_ms + Self::RETRY_MS;
        }
        if is_confirmed {
            self.observe(took_ms, now_ms);
        } else {
            self.unbounded_until_ms = now_ms + Self::UNBOUNDED_MS;
        }
    }

    /// Takes the latency of a write to the store; a slow write lifts the bound before a start has to wait for it.
    pub fn observe(&mut self, took_ms: u64, now_ms: u64) {
        if took_ms > Self::SLOW_WRITE_MS {
            self.unbounded_until_ms = now_ms + Self::UNBOUNDED_MS;
        }
    }
}

/// Start bound.
impl Engine {
    /// Sets the bound of the former epochs, as read from the store.
    pub fn set_former_start_bound(&mut self, version: Option<u64>) {
        let bound = &mut self.start_bound;
        bound.former = version;
        bound.confirmed = bound.confirmed.max(version.unwrap_or(0));
    }

    /// Handles the outcome of writing a bound.
    pub fn start_bound_written(&mut self, version: u64, is_confirmed: bool, now_ms: u64) {
        self.start_bound.written(version, is_confirmed, now_ms);
        self.is_schedule_due |= is_confirmed;
    }

    pub(super) fn write_start_bound(&mut self, now_ms: u64) {
        if !self.is_loaded {
            // Former epochs may have started jobs that are not loaded yet.
            return;
        }
        if let Some(version) = self.start_bound.due(now_ms) {
            self.actions.push(Action::WriteStartBound { version });
        }
    }
}
