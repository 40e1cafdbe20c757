use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Epoch;

/// Refusal by a worker; nothing was changed or started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum WorkerError {
    /// The epoch is below the highest that the worker has seen.
    #[error("epoch is below {highest}, the highest that the worker has seen")]
    Fenced {
        /// Highest epoch seen.
        highest: Epoch,
    },
    /// The lease expired, was revoked or never existed.
    #[error("slot lease is not live")]
    LeaseNotLive,
    /// The requested resources are not free.
    #[error("resources are not free")]
    NoCapacity,
    /// The worker is draining and accepts no new work.
    #[error("worker is leaving")]
    Leaving,
    /// The task is not known.
    #[error("task is not known")]
    UnknownTask,
    /// The worker is not known at this address.
    #[error("worker is not known at this address")]
    UnknownWorker,
}
