use model::{Epoch, WorkerId};
use serde::{Deserialize, Serialize};

/// Reply to a ping.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingReply {
    /// Worker.
    pub worker: WorkerId,
    /// Highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Whether the worker is draining.
    pub leaving: bool,
}
