use serde::{Deserialize, Serialize};

use crate::{InstanceId, LeaseId, LeaseKind, Resources};

/// Slot lease in a worker's inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// Lease.
    pub lease: LeaseId,
    /// Instance that holds the lease.
    pub holder: InstanceId,
    /// Purpose of the lease.
    #[serde(default)]
    pub kind: LeaseKind,
    /// Resources that the lease reserves.
    pub resources: Resources,
    /// Time until the lease expires, in milliseconds.
    pub remaining_ms: u64,
}
