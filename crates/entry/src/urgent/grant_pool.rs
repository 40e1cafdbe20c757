use std::collections::BTreeMap;

use model::{LeaseId, Resources, WorkerId};

/// Grants that this instance holds, with what is free in each.
#[derive(Debug, Default)]
pub(super) struct GrantPool {
    grants: BTreeMap<LeaseId, Grant>,
    /// Grants that ended lately, for the scheduler's next question.
    ended: Vec<Ended>,
    turn: u64,
}

#[derive(Debug)]
struct Grant {
    worker: WorkerId,
    resources: Resources,
    free: Resources,
    recalled: bool,
    /// Whether the worker did not take or answer a request since it last confirmed the lease.
    doubtful: bool,
    /// When the worker last confirmed the lease.
    confirmed_ms: u64,
    /// Turn of the last use; the grant that rested longest is used next, which spreads work over workers.
    used_turn: u64,
}

#[derive(Debug, Clone)]
struct Ended {
    worker: WorkerId,
    lease: LeaseId,
    at_ms: u64,
}

/// Right to run one task under a grant; given back to the pool afterwards.
#[derive(Debug, Clone)]
pub(super) struct Ticket {
    pub(super) lease: LeaseId,
    pub(super) worker: WorkerId,
    pub(super) need: Resources,
}

impl GrantPool {
    /// How long ended grants are reported; the scheduler asks every second and ignores repetitions.
    const ENDED_MS: u64 = 30_000;

    pub(super) fn add(&mut self, now_ms: u64, worker: WorkerId, lease: LeaseId, resources: Resources) {
        if self.ended.iter().any(|ended| ended.lease == lease) {
            return;
        }
        self.grants.entry(lease).or_insert(Grant {
            worker,
            resources,
            free: resources,
            recalled: false,
            doubtful: false,
            confirmed_ms: now_ms,
            used_turn: 0,
        });
    }

    /// Takes a free grant on a worker that confirmed it within `fresh_ms` and is not in `avoid`.
    pub(super) fn pick(&mut self, now_ms: u64, fresh_ms: u64, need: Resources, avoid: &[WorkerId]) -> Option<Ticket> {
        let usable = |grant: &&mut Grant| {
            !grant.recalled
                && !grant.doubtful
                && grant.free.fits(need)
                && now_ms.saturating_sub(grant.confirmed_ms) <= fresh_ms
                && !avoid.contains(&grant.worker)
        };
        let (lease, grant) = self
            .grants
            .iter_mut()
            .filter(|(_, grant)| usable(grant))
            .min_by_key(|(_, grant)| grant.used_turn)?;
        self.turn += 1;
        grant.used_turn = self.turn;
        grant.free -= need;
        Some(Ticket {
            lease: *lease,
            worker: grant.worker.clone(),
            need,
        })
    }

    pub(super) fn give_back(&mut self, ticket: &Ticket) {
        if let Some(grant) = self.grants.get_mut(&ticket.lease) {
            grant.free += ticket.need;
        }
    }

    pub(super) fn recall(&mut self, lease: LeaseId) {
        if let Some(grant) = self.grants.get_mut(&lease) {
            grant.recalled = true;
        }
    }

    pub(super) fn recall_all(&mut self) {
        for grant in self.grants.values_mut() {
            grant.recalled = true;
        }
    }

    /// A leaving worker gets no new work; what runs there goes on.
    pub(super) fn recall_worker(&mut self, worker: &WorkerId) {
        for grant in self.grants.values_mut().filter(|grant| grant.worker == *worker) {
            grant.recalled = true;
        }
    }

    /// Takes out the recalled grants that nothing uses; the caller revokes them at their workers.
    pub(super) fn take_recalled(&mut self) -> Vec<(WorkerId, LeaseId)> {
        let idle = |grant: &Grant| grant.recalled && grant.free == grant.resources;
        let leases: Vec<LeaseId> = self
            .grants
            .iter()
            .filter(|(_, grant)| idle(grant))
            .map(|(lease, _)| *lease)
            .collect();
        leases
            .into_iter()
            .filter_map(|lease| Some((self.grants.remove(&lease)?.worker, lease)))
            .collect()
    }

    /// Removes a grant that the worker does not hold any more, and reports it from now on.
    pub(super) fn end(&mut self, now_ms: u64, worker: WorkerId, lease: LeaseId) {
        self.grants.remove(&lease);
        self.ended.retain(|ended| ended.lease != lease);
        self.ended.push(Ended {
            worker,
            lease,
            at_ms: now_ms,
        });
    }

    pub(super) fn confirm(&mut self, now_ms: u64, lease: LeaseId) {
        if let Some(grant) = self.grants.get_mut(&lease) {
            grant.confirmed_ms = now_ms;
            grant.doubtful = false;
        }
    }

    /// Keeps requests from a worker that did not take or answer one, until it confirms its leases again.
    pub(super) fn doubt(&mut self, worker: &WorkerId) {
        for grant in self.grants.values_mut().filter(|grant| grant.worker == *worker) {
            grant.doubtful = true;
        }
    }

    /// Returns the leases at each worker.
    pub(super) fn by_worker(&self) -> BTreeMap<WorkerId, Vec<LeaseId>> {
        let mut workers: BTreeMap<WorkerId, Vec<LeaseId>> = BTreeMap::new();
        for (lease, grant) in &self.grants {
            workers.entry(grant.worker.clone()).or_default().push(*lease);
        }
        workers
    }

    /// Returns grants that no worker confirmed for their whole time to live.
    pub(super) fn expired(&self, now_ms: u64, ttl_ms: u64) -> Vec<(WorkerId, LeaseId)> {
        self.grants
            .iter()
            .filter(|(_, grant)| now_ms.saturating_sub(grant.confirmed_ms) > ttl_ms)
            .map(|(lease, grant)| (grant.worker.clone(), *lease))
            .collect()
    }

    /// Returns the grants that ended lately.
    pub(super) fn ended(&mut self, now_ms: u64) -> Vec<(WorkerId, LeaseId)> {
        self.ended
            .retain(|ended| now_ms.saturating_sub(ended.at_ms) < Self::ENDED_MS);
        self.ended
            .iter()
            .map(|ended| (ended.worker.clone(), ended.lease))
            .collect()
    }

    /// Returns the slots of all grants and those in use.
    pub(super) fn slots(&self) -> (u32, u32) {
        self.grants.values().fold((0, 0), |(granted, busy), grant| {
            let used = grant.resources.slots - grant.free.slots;
            (granted + u32::from(grant.resources.slots), busy + u32::from(used))
        })
    }

    pub(super) fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }
}
