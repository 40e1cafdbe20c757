use serde::{Deserialize, Serialize};

use crate::{Epoch, LeaseId};

/// Request that renews the listed leases at a worker and polls for task state changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Leases to renew.
    pub leases: Vec<LeaseId>,
    /// Time to live from now, in milliseconds.
    pub ttl_ms: u64,
    /// Sequence number of the last task state change that the sender has seen.
    pub after_sequence: u64,
}
