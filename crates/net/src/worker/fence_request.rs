use model::Epoch;
use serde::{Deserialize, Serialize};

/// Request that raises a worker's epoch; the reply is the worker's inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// Epoch of the sender.
    pub epoch: Epoch,
}
