use model::{LeaseId, TaskId, TaskState};
use serde::{Deserialize, Serialize};

/// Use of accelerators by one ended task, as the worker measured it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageEntry {
    /// Number of the entry at this worker; rises, also over restarts of the worker.
    pub sequence: u64,
    /// Task.
    pub task: TaskId,
    /// Lease under which the task ran.
    pub lease: LeaseId,
    /// How the task ended.
    pub state: TaskState,
    /// When the task started, in milliseconds of Unix time at the worker.
    pub started_unix_ms: u64,
    /// When the task ended, in milliseconds of Unix time at the worker.
    pub ended_unix_ms: u64,
    /// Accelerator time used, in milliseconds.
    pub accelerator_ms: u64,
}
