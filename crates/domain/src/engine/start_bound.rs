use super::Engine;
use super::job_entry::JobEntry;
use crate::Action;

/// Newest job that this epoch may have started, as the store knows it.
///
/// A job is started only after the store confirmed a bound that is not older than the job. A successor that cannot ask
/// all workers so knows which jobs no former scheduler can have started.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartBound {
    /// Bound of the former epochs; `None` if the store holds none, so that they may have started anything.
    former: Option<u64>,
    confirmed: u64,
    /// Newest open job that was read.
    wanted: u64,
    is_in_flight: bool,
    retry_ms: u64,
}

impl StartBound {
    /// Pause after a write that failed.
    const RETRY_MS: u64 = 50;

    pub const fn new() -> Self {
        Self {
            former: None,
            confirmed: 0,
            wanted: 0,
            is_in_flight: false,
            retry_ms: 0,
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
        if self.wanted <= self.confirmed || self.is_in_flight || now_ms < self.retry_ms {
            return None;
        }
        self.is_in_flight = true;
        Some(self.wanted)
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
        let bound = &mut self.start_bound;
        bound.is_in_flight = false;
        if is_confirmed {
            bound.confirmed = bound.confirmed.max(version);
            self.is_schedule_due = true;
        } else {
            bound.retry_ms = now_ms + StartBound::RETRY_MS;
        }
    }

    pub(super) fn raise_start_bound(&mut self, now_ms: u64) {
        if let Some(version) = self.start_bound.due(now_ms) {
            self.actions.push(Action::RaiseStartBound { version });
        }
    }
}
