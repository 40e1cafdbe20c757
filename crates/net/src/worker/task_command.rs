use model::{Epoch, TaskId};
use serde::{Deserialize, Serialize};

/// Request that stops a task, with a checkpoint first if sent to `checkpoint`.
///
/// A task that has ended stays as it is; the reply is its report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCommand {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Task.
    pub task: TaskId,
}
