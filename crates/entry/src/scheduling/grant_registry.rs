use std::collections::HashMap;

use model::{InstanceId, Inventory, LeaseId, LeaseKind, LeaseRequest, Resources, WorkerId};
use net::peer::GrantUpdate;

/// Grants of a data centre and the state of their delivery to the instances.
#[derive(Debug, Default)]
pub(super) struct GrantRegistry {
    grants: HashMap<LeaseId, GrantEntry>,
}

/// Grant with its delivery state.
#[derive(Debug, Clone)]
struct GrantEntry {
    instance: InstanceId,
    worker: WorkerId,
    resources: Resources,
    /// Whether the scheduler issued the grant, rather than only requested the lease from the worker.
    granted: bool,
    delivered: bool,
    recalled: bool,
}

impl GrantRegistry {
    /// Adds a lease that was requested from a worker and will become a grant.
    pub(super) fn requested(&mut self, worker: &WorkerId, request: &LeaseRequest) {
        if request.kind == LeaseKind::Grant {
            self.grants.insert(
                request.lease,
                GrantEntry {
                    instance: request.holder.clone(),
                    worker: worker.clone(),
                    resources: request.resources,
                    granted: false,
                    delivered: false,
                    recalled: false,
                },
            );
        }
    }

    /// Adopts the grants of a previous scheduler. They are delivered again, since their holder may have restarted.
    pub(super) fn adopt(&mut self, inventory: &Inventory) {
        for info in inventory.leases.iter().filter(|info| info.kind == LeaseKind::Grant) {
            self.grants.insert(
                info.lease,
                GrantEntry {
                    instance: info.holder.clone(),
                    worker: inventory.worker.clone(),
                    resources: info.resources,
                    granted: true,
                    delivered: false,
                    recalled: false,
                },
            );
        }
    }

    pub(super) fn granted(&mut self, lease: LeaseId) {
        if let Some(grant) = self.grants.get_mut(&lease) {
            grant.granted = true;
        }
    }

    pub(super) fn recalled(&mut self, lease: LeaseId) {
        if let Some(grant) = self.grants.get_mut(&lease) {
            grant.recalled = true;
            grant.delivered = false;
        }
    }

    /// Removes an ended grant and returns whether it was known.
    pub(super) fn remove(&mut self, lease: LeaseId) -> bool {
        self.grants.remove(&lease).is_some()
    }

    /// Returns the updates that the instance has not confirmed yet.
    pub(super) fn undelivered(&self, instance: &InstanceId) -> Vec<GrantUpdate> {
        let is_undelivered =
            |(_, grant): &(&LeaseId, &GrantEntry)| grant.instance == *instance && grant.granted && !grant.delivered;
        self.grants
            .iter()
            .filter(is_undelivered)
            .map(|(lease, grant)| update(*lease, grant))
            .collect()
    }

    pub(super) fn confirm(&mut self, updates: &[GrantUpdate]) {
        for update in updates {
            if let Ok(lease) = update.lease.parse()
                && let Some(grant) = self.grants.get_mut(&lease)
                && grant.recalled == update.recall
            {
                grant.delivered = true;
            }
        }
    }

    /// Drops the grants of removed instances; the scheduler detects the expiry of their leases itself.
    pub(super) fn remove_holders(&mut self, is_removed: impl Fn(&InstanceId) -> bool) {
        self.grants.retain(|_, grant| !is_removed(&grant.instance));
    }
}

fn update(lease: LeaseId, grant: &GrantEntry) -> GrantUpdate {
    GrantUpdate {
        worker: grant.worker.to_string(),
        lease: lease.to_string(),
        recall: grant.recalled,
        slots: grant.resources.slots.into(),
        accelerators: grant.resources.accelerators.into(),
        cpu_milli: grant.resources.cpu_milli,
        memory_mib: grant.resources.memory_mib,
    }
}
