use model::{LeaseId, TaskId, TaskState};
use serde::{Deserialize, Serialize};

/// Accelerator usage of one ended task, as recorded by the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Sequence number of the entry at this worker; keeps increasing across restarts of the worker.
    pub sequence: u64,
    /// Task.
    pub task: TaskId,
    /// Lease under which the task ran.
    pub lease: LeaseId,
    /// How the task ended.
    pub state: TaskState,
    /// When the task started, in milliseconds of Unix time on the worker's clock.
    pub started_unix_ms: u64,
    /// When the task ended, in milliseconds of Unix time on the worker's clock.
    pub ended_unix_ms: u64,
    /// Accelerator time used, in milliseconds.
    pub accelerator_ms: u64,
}
