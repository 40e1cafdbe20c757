use model::{Epoch, TaskId};
use serde::{Deserialize, Serialize};

/// Request that stops a task; sent to `checkpoint`, the task is checkpointed first.
///
/// An ended task is left unchanged; the reply is its report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCommand {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Task.
    pub task: TaskId,
}
