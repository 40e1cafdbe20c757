use serde::{Deserialize, Serialize};

use crate::{Answer, LeaseId, TaskId, TaskState};

/// Report of a worker on one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task.
    pub task: TaskId,
    /// Lease under which it was started.
    pub lease: LeaseId,
    /// State of the task.
    pub state: TaskState,
    /// Answer, once finished.
    #[serde(default)]
    pub answer: Option<Answer>,
    /// Error message, if failed.
    #[serde(default)]
    pub failure: Option<String>,
    /// Checkpoint to resume from, if one was taken.
    #[serde(default)]
    pub checkpoint: Option<String>,
    /// Accelerator time used so far, in milliseconds.
    pub accelerator_ms: u64,
}
