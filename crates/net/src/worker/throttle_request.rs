use model::{Epoch, TaskId};
use serde::{Deserialize, Serialize};

/// Request that limits a running task to a share of its full speed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Task.
    pub task: TaskId,
    /// Share of full speed in percent, 1 to 100.
    pub share_percent: u8,
}
