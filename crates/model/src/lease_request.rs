use serde::{Deserialize, Serialize};

use crate::{Epoch, InstanceId, LeaseId, LeaseKind, Resources};

/// Request to a worker for an exclusive slot lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Id chosen by the scheduler. Repeating the request with the same id returns the same lease.
    pub lease: LeaseId,
    /// Epoch of the scheduler; a worker refuses one below the highest that it has seen.
    pub epoch: Epoch,
    /// Instance that may use the lease.
    pub holder: InstanceId,
    /// Who uses the lease.
    #[serde(default)]
    pub kind: LeaseKind,
    /// What the lease reserves.
    pub resources: Resources,
    /// Time to live in milliseconds, counted by the worker; renewals start it again.
    pub ttl_ms: u64,
}
