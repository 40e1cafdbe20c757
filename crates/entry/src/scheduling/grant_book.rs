use std::collections::HashMap;

use model::{InstanceId, Inventory, LeaseId, LeaseKind, LeaseRequest, Resources, WorkerId};
use net::peer::GrantUpdate;

/// Grants of a data centre, as its scheduler's driver delivers them to the instances.
#[derive(Debug, Default)]
pub(super) struct GrantBook {
    grants: HashMap<LeaseId, BookedGrant>,
}

/// Grant and how far its delivery got.
#[derive(Debug, Clone)]
struct BookedGrant {
    instance: InstanceId,
    worker: WorkerId,
    resources: Resources,
    /// Whether the scheduler handed the grant out, rather than only asked the worker for the lease.
    granted: bool,
    delivered: bool,
    recalled: bool,
}

impl GrantBook {
    /// Takes note of the resources of a lease that will become a grant.
    pub(super) fn requested(&mut self, worker: &WorkerId, request: &LeaseRequest) {
        if request.kind == LeaseKind::Grant {
            self.grants.insert(
                request.lease,
                BookedGrant {
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

    /// Takes over grants of a former scheduler. They are delivered again, since their holder may have restarted.
    pub(super) fn adopt(&mut self, inventory: &Inventory) {
        for info in inventory.leases.iter().filter(|info| info.kind == LeaseKind::Grant) {
            self.grants.insert(
                info.lease,
                BookedGrant {
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

    /// Returns what the instance has not confirmed yet.
    pub(super) fn undelivered(&self, instance: &InstanceId) -> Vec<GrantUpdate> {
        let open =
            |(_, grant): &(&LeaseId, &BookedGrant)| grant.instance == *instance && grant.granted && !grant.delivered;
        self.grants
            .iter()
            .filter(open)
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

    /// Forgets the grants of instances that are gone; the scheduler finds out by itself when these lapse.
    pub(super) fn forget(&mut self, gone: impl Fn(&InstanceId) -> bool) {
        self.grants.retain(|_, grant| !gone(&grant.instance));
    }
}

fn update(lease: LeaseId, grant: &BookedGrant) -> GrantUpdate {
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
