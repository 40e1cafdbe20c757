use serde::{Deserialize, Serialize};

use crate::{InstanceId, LeaseId, LeaseKind, Resources};

/// Slot lease in a worker's inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// Lease.
    pub lease: LeaseId,
    /// Instance that holds it.
    pub holder: InstanceId,
    /// Who uses the lease.
    #[serde(default)]
    pub kind: LeaseKind,
    /// What it reserves.
    pub resources: Resources,
    /// Time until it lapses, in milliseconds.
    pub remaining_ms: u64,
}
