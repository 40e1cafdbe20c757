use serde::{Deserialize, Serialize};

/// State of a task at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Running.
    Running,
    /// Ran to completion.
    Finished,
    /// Ran and failed.
    Failed,
    /// Stopped by command, or because its lease expired.
    Stopped,
    /// Stopped after a checkpoint was taken.
    Checkpointed,
}

impl TaskState {
    /// Returns whether the task no longer runs.
    pub const fn is_ended(self) -> bool {
        !matches!(self, Self::Running)
    }
}
