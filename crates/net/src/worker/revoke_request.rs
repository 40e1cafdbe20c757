use model::{Epoch, LeaseId};
use serde::{Deserialize, Serialize};

/// Request that revokes a slot lease and stops its tasks; the reply lists the tasks started under it.
///
/// The worker remembers the id, so that a lease request that arrives later is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Lease to revoke.
    pub lease: LeaseId,
}
