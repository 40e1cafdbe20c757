use compact_str::CompactString;
use model::{DataCentreId, Epoch, JobId, LeaseId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::EventKind;

/// Typed event of the timeline. Fields that do not apply are `None`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// What happened.
    pub kind: EventKind,
    /// Job; its id contains the request id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<JobId>,
    /// Number of the attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u32>,
    /// Slot lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseId>,
    /// Worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
    /// Data centre.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
    /// Epoch of the scheduling lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<Epoch>,
    /// Cause, as a stable code or short text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<CompactString>,
}

impl Event {
    /// Creates an event with no optional field set.
    pub const fn new(kind: EventKind) -> Self {
        Self {
            kind,
            job: None,
            attempt: None,
            lease: None,
            worker: None,
            data_centre: None,
            epoch: None,
            cause: None,
        }
    }

    /// Sets the job.
    #[must_use]
    pub fn job(mut self, job: JobId) -> Self {
        self.job = Some(job);
        self
    }

    /// Sets the number of the attempt.
    #[must_use]
    pub const fn attempt(mut self, attempt: u32) -> Self {
        self.attempt = Some(attempt);
        self
    }

    /// Sets the slot lease.
    #[must_use]
    pub const fn lease(mut self, lease: LeaseId) -> Self {
        self.lease = Some(lease);
        self
    }

    /// Sets the worker.
    #[must_use]
    pub fn worker(mut self, worker: WorkerId) -> Self {
        self.worker = Some(worker);
        self
    }

    /// Sets the data centre.
    #[must_use]
    pub fn data_centre(mut self, data_centre: DataCentreId) -> Self {
        self.data_centre = Some(data_centre);
        self
    }

    /// Sets the epoch.
    #[must_use]
    pub const fn epoch(mut self, epoch: Epoch) -> Self {
        self.epoch = Some(epoch);
        self
    }

    /// Sets the cause.
    #[must_use]
    pub fn cause(mut self, cause: impl Into<CompactString>) -> Self {
        self.cause = Some(cause.into());
        self
    }
}
