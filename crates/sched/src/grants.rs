use std::collections::{BTreeMap, BTreeSet};

use model::{InstanceId, LeaseId, LeaseInfo, LeaseKind, LeaseRequest, Resources, WorkerError, WorkerId};
use policy::Policy;
use trace::{Event, EventKind};

use crate::Action;
use crate::scheduler::{Mode, Scheduler, Timer};

/// Maximum number of grants requested per input, so that a start with many instances is spread over several inputs.
const MAX_PER_INPUT: usize = 64;

/// Time after which supplying grants is retried.
const RETRY_MS: u64 = 500;

/// Slot leases delegated to entry instances.
#[derive(Debug, Clone, Default)]
pub(crate) struct Grants {
    by_lease: BTreeMap<LeaseId, Grant>,
    instances: BTreeMap<InstanceId, InstanceGrants>,
}

#[derive(Debug, Clone)]
struct Grant {
    instance: InstanceId,
    worker: usize,
    state: GrantState,
    resources: Resources,
    /// Number of the command that requested it.
    op: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantState {
    Requested,
    Held,
    Recalled,
    Revoking,
}

#[derive(Debug, Clone, Default)]
struct InstanceGrants {
    wanted: u16,
    leases: BTreeSet<LeaseId>,
    is_removed: bool,
}

impl<P: Policy> Scheduler<P> {
    /// Updates the live instances and the number of slots that each wants.
    pub(crate) fn instances(&mut self, wanted_slots: Vec<(InstanceId, u16)>, actions: &mut Vec<Action>) {
        for instance_grants in self.grants.instances.values_mut() {
            instance_grants.wanted = 0;
            instance_grants.is_removed = true;
        }
        for (instance, wanted) in wanted_slots {
            let instance_grants = self.grants.instances.entry(instance).or_default();
            instance_grants.wanted = wanted;
            instance_grants.is_removed = false;
        }
        self.grants
            .instances
            .retain(|_, instance_grants| !instance_grants.is_removed || !instance_grants.leases.is_empty());
        let surplus: Vec<LeaseId> = (self.grants.instances.values())
            .filter(|instance_grants| !instance_grants.is_removed)
            .flat_map(|instance_grants| {
                instance_grants
                    .leases
                    .iter()
                    .skip(usize::from(instance_grants.wanted))
                    .copied()
            })
            .collect();
        for lease in surplus {
            self.recall(lease, actions);
        }
        if self
            .grants
            .instances
            .values()
            .any(|instance_grants| instance_grants.is_removed)
        {
            // The grants of a removed instance expire at the workers; their inventories show when.
            let expiry_ms = self.settings.slot_lease_ttl_ms + self.settings.worker_timeout_ms;
            self.arm(self.now_ms + expiry_ms, Timer::Grants);
        }
        self.supply_grants(actions);
    }

    /// Requests grants for instances that have fewer than they want, one per instance in turn.
    pub(crate) fn supply_grants(&mut self, actions: &mut Vec<Action>) {
        if self.mode != Mode::Active {
            return;
        }
        self.check_removed_instances(actions);
        let mut budget = if self.is_in_service { MAX_PER_INPUT } else { 0 };
        while budget > 0 {
            let undersupplied: Vec<InstanceId> = (self.grants.instances.iter())
                .filter(|(_, instance_grants)| instance_grants.leases.len() < usize::from(instance_grants.wanted))
                .map(|(instance, _)| instance.clone())
                .take(budget)
                .collect();
            if undersupplied.is_empty() {
                return;
            }
            budget -= undersupplied.len();
            for instance in undersupplied {
                if !self.request_grant(instance, actions) {
                    self.arm(self.now_ms + RETRY_MS, Timer::Grants);
                    return;
                }
            }
        }
        if self.is_in_service {
            self.arm(self.now_ms + RETRY_MS, Timer::Grants);
        }
    }

    fn check_removed_instances(&mut self, actions: &mut Vec<Action>) {
        let removed = self
            .grants
            .instances
            .values()
            .filter(|instance_grants| instance_grants.is_removed);
        let leases = removed.flat_map(|instance_grants| &instance_grants.leases);
        let workers: BTreeSet<usize> = leases.map(|lease| self.grants.by_lease[lease].worker).collect();
        if workers.is_empty() {
            return;
        }
        for ix in workers {
            self.probe(ix, actions);
        }
        let expiry_ms = self.settings.slot_lease_ttl_ms;
        self.arm(self.now_ms + expiry_ms, Timer::Grants);
    }

    fn request_grant(&mut self, instance: InstanceId, actions: &mut Vec<Action>) -> bool {
        let resources = self.settings.grant_resources;
        let Some(key) = self.policy.grant(self.now_ms, resources) else {
            return false;
        };
        let worker = self.worker_index[self.policy.worker_id(key)];
        let lease = self.next_lease();
        let op = self.next_op();
        actions.push(Action::Lease {
            worker: self.workers[worker].id.clone(),
            request: LeaseRequest {
                lease,
                epoch: self.epoch,
                holder: instance.clone(),
                kind: LeaseKind::Grant,
                resources,
                ttl_ms: self.settings.slot_lease_ttl_ms,
            },
        });
        self.insert_grant(lease, instance, worker, GrantState::Requested, resources, op);
        true
    }

    fn insert_grant(
        &mut self,
        lease: LeaseId,
        instance: InstanceId,
        worker: usize,
        state: GrantState,
        resources: Resources,
        op: u64,
    ) {
        self.workers[worker].grants.insert(lease);
        let instance_grants = self.grants.instances.entry(instance.clone()).or_default();
        instance_grants.leases.insert(lease);
        let grant = Grant {
            instance,
            worker,
            state,
            resources,
            op,
        };
        self.grants.by_lease.insert(lease, grant);
    }

    /// Handles the reply to the request of a grant.
    pub(crate) fn grant_leased(&mut self, lease: LeaseId, result: Result<(), WorkerError>, actions: &mut Vec<Action>) {
        let Some(grant) = self
            .grants
            .by_lease
            .get_mut(&lease)
            .filter(|grant| grant.state == GrantState::Requested)
        else {
            return;
        };
        if result.is_err() {
            self.drop_grant(lease, actions);
            self.arm(self.now_ms + RETRY_MS, Timer::Grants);
            return;
        }
        grant.state = GrantState::Held;
        let worker = self.workers[grant.worker].id.clone();
        let instance = grant.instance.clone();
        let event = Event::new(EventKind::GrantGiven)
            .lease(lease)
            .worker(worker.clone())
            .cause(instance.as_str());
        self.event(event, actions);
        actions.push(Action::Grant {
            instance,
            worker,
            lease,
        });
        if !self.is_in_service {
            self.recall(lease, actions);
        }
    }

    /// Handles the loss of the reply to the request of a grant: the lease is revoked whether it exists or not.
    pub(crate) fn grant_lost(&mut self, lease: LeaseId, actions: &mut Vec<Action>) {
        self.revoke_grant(lease, actions);
    }

    /// Handles the reply to the revocation of a grant.
    pub(crate) fn grant_revoked(&mut self, lease: LeaseId, is_done: bool, actions: &mut Vec<Action>) {
        if is_done {
            self.drop_grant(lease, actions);
            self.arm(self.now_ms, Timer::Grants);
        }
    }

    /// Handles a grant that its holder released or that expired.
    pub(crate) fn grant_released(&mut self, worker: &WorkerId, lease: LeaseId, actions: &mut Vec<Action>) {
        let is_known = self
            .worker_index
            .get(worker)
            .is_some_and(|ix| self.workers[*ix].grants.contains(&lease));
        if is_known {
            self.revoke_grant(lease, actions);
        }
    }

    fn revoke_grant(&mut self, lease: LeaseId, actions: &mut Vec<Action>) {
        if let Some(grant) = self.grants.by_lease.get_mut(&lease) {
            grant.state = GrantState::Revoking;
            let worker = self.workers[grant.worker].id.clone();
            actions.push(Action::Revoke { worker, lease });
        }
    }

    fn recall(&mut self, lease: LeaseId, actions: &mut Vec<Action>) {
        let Some(grant) = self.grants.by_lease.get_mut(&lease) else {
            return;
        };
        match grant.state {
            GrantState::Requested => self.revoke_grant(lease, actions),
            GrantState::Held => {
                grant.state = GrantState::Recalled;
                actions.push(Action::RecallGrant {
                    instance: grant.instance.clone(),
                    worker: self.workers[grant.worker].id.clone(),
                    lease,
                });
            }
            GrantState::Recalled | GrantState::Revoking => {}
        }
    }

    /// Recalls every grant, because the data centre is out of service.
    pub(crate) fn recall_all_grants(&mut self, actions: &mut Vec<Action>) {
        let leases: Vec<LeaseId> = self.grants.by_lease.keys().copied().collect();
        for lease in leases {
            self.recall(lease, actions);
        }
    }

    /// Recalls the grants at a worker that takes no new work.
    pub(crate) fn recall_grants_at(&mut self, ix: usize, actions: &mut Vec<Action>) {
        let leases: Vec<LeaseId> = self.workers[ix].grants.iter().copied().collect();
        for lease in leases {
            self.recall(lease, actions);
        }
    }

    /// Drops the grants at an unresponsive worker, so that the instances are supplied from other workers.
    ///
    /// Grants that are still live are adopted again when the worker answers.
    pub(crate) fn drop_grants_at(&mut self, ix: usize, actions: &mut Vec<Action>) {
        self.recall_grants_at(ix, actions);
        let leases: Vec<LeaseId> = self.workers[ix].grants.iter().copied().collect();
        for lease in leases {
            self.drop_grant(lease, actions);
        }
        self.arm(self.now_ms, Timer::Grants);
    }

    fn drop_grant(&mut self, lease: LeaseId, actions: &mut Vec<Action>) {
        let Some(grant) = self.grants.by_lease.remove(&lease) else {
            return;
        };
        let worker = &mut self.workers[grant.worker];
        worker.grants.remove(&lease);
        let event = Event::new(EventKind::GrantEnded).lease(lease).worker(worker.id.clone());
        if let Some(key) = worker.policy_key {
            self.policy.release_grant(key, grant.resources);
        }
        if let Some(instance_grants) = self.grants.instances.get_mut(&grant.instance) {
            instance_grants.leases.remove(&lease);
            if instance_grants.is_removed && instance_grants.leases.is_empty() {
                self.grants.instances.remove(&grant.instance);
            }
        }
        self.event(event, actions);
    }

    /// Returns all grants to the policy without sending commands; the successor adopts them.
    pub(crate) fn release_all_grants(&mut self) {
        for grant in std::mem::take(&mut self.grants.by_lease).into_values() {
            if let Some(key) = self.workers[grant.worker].policy_key {
                self.policy.release_grant(key, grant.resources);
            }
        }
        for instance_grants in self.grants.instances.values_mut() {
            instance_grants.leases.clear();
        }
    }

    /// Reconciles the grants at a worker with its inventory, which was read by the command with number `op`.
    pub(crate) fn reconcile_grants(&mut self, ix: usize, leases: &[LeaseInfo], op: u64, actions: &mut Vec<Action>) {
        let known: Vec<LeaseId> = self.workers[ix].grants.iter().copied().collect();
        for lease in known {
            let is_live = leases.iter().any(|info| info.lease == lease);
            let grant = &self.grants.by_lease[&lease];
            if !is_live && grant.op < op {
                self.drop_grant(lease, actions);
                self.arm(self.now_ms, Timer::Grants);
            } else if is_live && grant.state == GrantState::Revoking {
                self.revoke_grant(lease, actions);
            }
        }
        for info in leases.iter().filter(|info| info.kind == LeaseKind::Grant) {
            if self.grants.by_lease.contains_key(&info.lease) {
                continue;
            }
            if let Some(key) = self.workers[ix].policy_key {
                self.policy.adopt_grant(key, info.resources);
            }
            let is_new = !self.grants.instances.contains_key(&info.holder);
            self.insert_grant(
                info.lease,
                info.holder.clone(),
                ix,
                GrantState::Held,
                info.resources,
                op,
            );
            if is_new && let Some(instance_grants) = self.grants.instances.get_mut(&info.holder) {
                instance_grants.is_removed = true;
            }
            // The holder may not have received a grant that was in flight; a repeated one changes nothing.
            actions.push(Action::Grant {
                instance: info.holder.clone(),
                worker: self.workers[ix].id.clone(),
                lease: info.lease,
            });
            if !self.is_in_service {
                self.recall(info.lease, actions);
            }
        }
    }
}
