use std::collections::{BTreeMap, BTreeSet};

use model::{InstanceId, LeaseId, LeaseInfo, LeaseKind, LeaseRequest, Resources, WorkerError, WorkerId};
use policy::Policy;
use trace::{Event, EventKind};

use crate::Action;
use crate::scheduler::{Mode, Scheduler, Timer};

/// Most grants that one input requests, so that a start with many instances comes in steps.
const MAX_PER_INPUT: usize = 64;

/// Time after which grants that could not be supplied are tried again.
const RETRY_MS: u64 = 500;

/// Slot leases delegated to entry instances.
#[derive(Debug, Clone, Default)]
pub(crate) struct Grants {
    by_lease: BTreeMap<LeaseId, Grant>,
    instances: BTreeMap<InstanceId, Share>,
}

#[derive(Debug, Clone)]
struct Grant {
    instance: InstanceId,
    worker: usize,
    stage: Stage,
    resources: Resources,
    /// Number of the command that requested it.
    op: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Asked,
    Held,
    Recalled,
    Revoking,
}

#[derive(Debug, Clone, Default)]
struct Share {
    wanted: u16,
    leases: BTreeSet<LeaseId>,
    is_gone: bool,
}

impl<P: Policy> Scheduler<P> {
    /// Takes the live instances and what they want.
    pub(crate) fn instances(&mut self, wanted_slots: Vec<(InstanceId, u16)>, actions: &mut Vec<Action>) {
        for share in self.grants.instances.values_mut() {
            share.wanted = 0;
            share.is_gone = true;
        }
        for (instance, wanted) in wanted_slots {
            let share = self.grants.instances.entry(instance).or_default();
            share.wanted = wanted;
            share.is_gone = false;
        }
        self.grants
            .instances
            .retain(|_, share| !share.is_gone || !share.leases.is_empty());
        let surplus: Vec<LeaseId> = (self.grants.instances.values())
            .filter(|share| !share.is_gone)
            .flat_map(|share| share.leases.iter().skip(usize::from(share.wanted)).copied())
            .collect();
        for lease in surplus {
            self.recall(lease, actions);
        }
        if self.grants.instances.values().any(|share| share.is_gone) {
            // The grants of an instance that is gone expire at the workers; their inventories tell when.
            let lapse_ms = self.settings.slot_lease_ttl_ms + self.settings.worker_timeout_ms;
            self.arm(self.now_ms + lapse_ms, Timer::Grants);
        }
        self.supply_grants(actions);
    }

    /// Requests grants for instances that have fewer than they want, one each in turn.
    pub(crate) fn supply_grants(&mut self, actions: &mut Vec<Action>) {
        if self.mode != Mode::Active {
            return;
        }
        self.check_gone(actions);
        let mut budget = if self.is_in_service { MAX_PER_INPUT } else { 0 };
        while budget > 0 {
            let short: Vec<InstanceId> = (self.grants.instances.iter())
                .filter(|(_, share)| share.leases.len() < usize::from(share.wanted))
                .map(|(instance, _)| instance.clone())
                .take(budget)
                .collect();
            if short.is_empty() {
                return;
            }
            budget -= short.len();
            for instance in short {
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

    fn check_gone(&mut self, actions: &mut Vec<Action>) {
        let gone = self.grants.instances.values().filter(|share| share.is_gone);
        let leases = gone.flat_map(|share| &share.leases);
        let workers: BTreeSet<usize> = leases.map(|lease| self.grants.by_lease[lease].worker).collect();
        if workers.is_empty() {
            return;
        }
        for ix in workers {
            self.probe(ix, actions);
        }
        let lapse_ms = self.settings.slot_lease_ttl_ms;
        self.arm(self.now_ms + lapse_ms, Timer::Grants);
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
        self.insert_grant(lease, instance, worker, Stage::Asked, resources, op);
        true
    }

    fn insert_grant(
        &mut self,
        lease: LeaseId,
        instance: InstanceId,
        worker: usize,
        stage: Stage,
        resources: Resources,
        op: u64,
    ) {
        self.workers[worker].grants.insert(lease);
        let share = self.grants.instances.entry(instance.clone()).or_default();
        share.leases.insert(lease);
        let grant = Grant {
            instance,
            worker,
            stage,
            resources,
            op,
        };
        self.grants.by_lease.insert(lease, grant);
    }

    /// Takes the reply to the request of a grant.
    pub(crate) fn grant_leased(&mut self, lease: LeaseId, result: Result<(), WorkerError>, actions: &mut Vec<Action>) {
        let Some(grant) = self
            .grants
            .by_lease
            .get_mut(&lease)
            .filter(|grant| grant.stage == Stage::Asked)
        else {
            return;
        };
        if result.is_err() {
            self.drop_grant(lease, actions);
            self.arm(self.now_ms + RETRY_MS, Timer::Grants);
            return;
        }
        grant.stage = Stage::Held;
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

    /// The reply to the request of a grant was lost; the lease is revoked whether it exists or not.
    pub(crate) fn grant_lost(&mut self, lease: LeaseId, actions: &mut Vec<Action>) {
        self.revoke_grant(lease, actions);
    }

    /// Takes the reply to the revocation of a grant.
    pub(crate) fn grant_revoked(&mut self, lease: LeaseId, is_done: bool, actions: &mut Vec<Action>) {
        if is_done {
            self.drop_grant(lease, actions);
            self.arm(self.now_ms, Timer::Grants);
        }
    }

    /// The holder gave the grant up, or it lapsed.
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
            grant.stage = Stage::Revoking;
            let worker = self.workers[grant.worker].id.clone();
            actions.push(Action::Revoke { worker, lease });
        }
    }

    fn recall(&mut self, lease: LeaseId, actions: &mut Vec<Action>) {
        let Some(grant) = self.grants.by_lease.get_mut(&lease) else {
            return;
        };
        match grant.stage {
            Stage::Asked => self.revoke_grant(lease, actions),
            Stage::Held => {
                grant.stage = Stage::Recalled;
                actions.push(Action::RecallGrant {
                    instance: grant.instance.clone(),
                    worker: self.workers[grant.worker].id.clone(),
                    lease,
                });
            }
            Stage::Recalled | Stage::Revoking => {}
        }
    }

    /// Recalls every grant; the data centre is out.
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

    /// Gives up the grants at a silent worker, so that the instances are supplied elsewhere.
    ///
    /// Those that live on are adopted again when the worker answers.
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
        if let Some(key) = worker.key {
            self.policy.release_grant(key, grant.resources);
        }
        if let Some(share) = self.grants.instances.get_mut(&grant.instance) {
            share.leases.remove(&lease);
            if share.is_gone && share.leases.is_empty() {
                self.grants.instances.remove(&grant.instance);
            }
        }
        self.event(event, actions);
    }

    /// Gives all grants back to the policy without a command; the successor adopts them.
    pub(crate) fn release_all_grants(&mut self) {
        for grant in std::mem::take(&mut self.grants.by_lease).into_values() {
            if let Some(key) = self.workers[grant.worker].key {
                self.policy.release_grant(key, grant.resources);
            }
        }
        for share in self.grants.instances.values_mut() {
            share.leases.clear();
        }
    }

    /// Compares the grants at a worker with its inventory, which was read by the command with number `op`.
    pub(crate) fn reconcile_grants(&mut self, ix: usize, leases: &[LeaseInfo], op: u64, actions: &mut Vec<Action>) {
        let known: Vec<LeaseId> = self.workers[ix].grants.iter().copied().collect();
        for lease in known {
            let is_live = leases.iter().any(|info| info.lease == lease);
            let grant = &self.grants.by_lease[&lease];
            if !is_live && grant.op < op {
                self.drop_grant(lease, actions);
                self.arm(self.now_ms, Timer::Grants);
            } else if is_live && grant.stage == Stage::Revoking {
                self.revoke_grant(lease, actions);
            }
        }
        for info in leases.iter().filter(|info| info.kind == LeaseKind::Grant) {
            if self.grants.by_lease.contains_key(&info.lease) {
                continue;
            }
            if let Some(key) = self.workers[ix].key {
                self.policy.adopt_grant(key, info.resources);
            }
            let is_new = !self.grants.instances.contains_key(&info.holder);
            self.insert_grant(info.lease, info.holder.clone(), ix, Stage::Held, info.resources, op);
            if is_new && let Some(share) = self.grants.instances.get_mut(&info.holder) {
                share.is_gone = true;
            }
            // The holder may never have heard of a grant that was on its way; a repeated one changes nothing.
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
