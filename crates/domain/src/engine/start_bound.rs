use super::Engine;
use super::job_entry::JobEntry;
use crate::Action;

/// Newest job that this epoch may have started, as the store knows it.
///
/// A job is started only after the store confirmed a bound that is not older than the job. A successor that cannot ask
/// all workers so knows which jobs no former scheduler can have started. While the store is slow the bound is opened, so
/// that starts do not wait for it.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartBound {
    /// Bound of the former epochs; `None` if the store holds none, so that they may have started anything.
    former: Option<u64>,
    /// No start goes beyond it; the bound in the store is not lower.
    confirmed: u64,
    /// Newest open job that was read.
    wanted: u64,
    sent_ms: Option<u64>,
    retry_ms: u64,
    open_until_ms: u64,
}

impl StartBound {
    /// Bound that holds nothing back.
    const OPEN: u64 = u64::MAX;

    /// Pause after a write that failed.
    const RETRY_MS: u64 = 50;

    /// Time of a write from which the store counts as slow; it answers in milliseconds.
    const SLOW_MS: u64 = 60;

    /// Time for which the bound stays open after a slow or failed write.
    const OPEN_MS: u64 = 5_000;

    pub const fn new() -> Self {
        Self {
            former: None,
            confirmed: 0,
            wanted: 0,
            sent_ms: None,
            retry_ms: 0,
            open_until_ms: 0,
        }
    }

    /// Takes a job that may be started.
    pub fn want(&mut self, inserted_version: u64) {
        self.wanted = self.wanted.max(inserted_version);
    }

    /// Returns whether a job may be started.
    pub const fn allows(&self, job: &JobEntry) -> bool {
        job.inserted_version <= self.confirmed
    }

    /// Returns whether a former epoch may have started a job.
    pub fn is_former(&self, job: &JobEntry) -> bool {
        self.former.is_none_or(|former| job.inserted_version <= former)
    }

    fn due(&mut self, now_ms: u64) -> Option<u64> {
        if self.sent_ms.is_some() || now_ms < self.retry_ms {
            return None;
        }
        let version = if now_ms < self.open_until_ms {
            Self::OPEN
        } else {
            self.wanted
        };
        if self.confirmed == Self::OPEN && version != Self::OPEN {
            // From now on the store may hold the lower bound.
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
            self.open_until_ms = now_ms + Self::OPEN_MS;
        }
    }

    /// Takes the time of a write to the store; a slow one opens the bound before a start has to wait for it.
    pub fn observe(&mut self, took_ms: u64, now_ms: u64) {
        if took_ms > Self::SLOW_MS {
            self.open_until_ms = now_ms + Self::OPEN_MS;
        }
    }
}

/// Bound of starts.
impl Engine {
    /// Takes the bound of the former epochs from the store.
    pub fn set_former_start_bound(&mut self, version: Option<u64>) {
        let bound = &mut self.start_bound;
        bound.former = version;
        bound.confirmed = bound.confirmed.max(version.unwrap_or(0));
    }

    /// Takes the outcome of writing a bound.
    pub fn start_bound_written(&mut self, version: u64, is_confirmed: bool, now_ms: u64) {
        self.start_bound.written(version, is_confirmed, now_ms);
        self.is_schedule_due |= is_confirmed;
    }

    pub(super) fn write_start_bound(&mut self, now_ms: u64) {
        if !self.is_loaded {
            // Former epochs may have started jobs that are not read yet.
            return;
        }
        if let Some(version) = self.start_bound.due(now_ms) {
            self.actions.push(Action::WriteStartBound { version });
        }
    }
}
