use model::{InstanceId, LeaseId, LeaseInfo, LeaseKind, Resources};

/// Live slot lease.
#[derive(Debug, Clone)]
pub(super) struct Lease {
    pub holder: InstanceId,
    pub kind: LeaseKind,
    pub resources: Resources,
    pub expires_ms: u64,
    /// Whether a task has been started under it.
    pub is_used: bool,
}

impl Lease {
    pub fn info(&self, id: LeaseId, now_ms: u64) -> LeaseInfo {
        LeaseInfo {
            lease: id,
            holder: self.holder.clone(),
            kind: self.kind,
            resources: self.resources,
            remaining_ms: self.expires_ms.saturating_sub(now_ms),
        }
    }
}

/// Record of a lease that is no longer live, so that a late request does not grant it again.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tombstone {
    /// `None` if the lease was revoked before it was granted.
    pub kind: Option<LeaseKind>,
}
