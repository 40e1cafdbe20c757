use serde::{Deserialize, Serialize};

use crate::{Epoch, InstanceId, LeaseId, LeaseKind, Resources};

/// Request to a worker for an exclusive slot lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Id chosen by the scheduler. Repeating the request with the same id returns the same lease.
    pub lease: LeaseId,
    /// Epoch of the scheduler; a worker refuses an epoch below the highest that it has seen.
    pub epoch: Epoch,
    /// Instance that may use the lease.
    pub holder: InstanceId,
    /// Purpose of the lease.
    #[serde(default)]
    pub kind: LeaseKind,
    /// Resources that the lease reserves.
    pub resources: Resources,
    /// Time to live in milliseconds, measured by the worker; each renewal restarts it.
    pub ttl_ms: u64,
}
