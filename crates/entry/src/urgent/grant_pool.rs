use std::collections::BTreeMap;

use model::{LeaseId, Resources, WorkerId};

/// Grants that this instance holds, with the free resources of each.
#[derive(Debug, Default)]
pub(super) struct GrantPool {
    grants: BTreeMap<LeaseId, Grant>,
    /// Grants that ended recently, reported at the scheduler's next query.
    ended: Vec<EndedGrant>,
    use_count: u64,
}

#[derive(Debug)]
struct Grant {
    worker: WorkerId,
    resources: Resources,
    free: Resources,
    recalled: bool,
    /// Whether the worker has failed to accept or answer a request since it last confirmed the lease.
    is_unconfirmed: bool,
    /// When the worker last confirmed the lease.
    confirmed_ms: u64,
    /// Value of `use_count` at the last use; the least recently used grant is next, which spreads work over workers.
    last_use: u64,
}

#[derive(Debug, Clone)]
struct EndedGrant {
    worker: WorkerId,
    lease: LeaseId,
    at_ms: u64,
}

/// Right to run one task under a grant; returned to the pool afterwards.
#[derive(Debug, Clone)]
pub(super) struct Ticket {
    pub(super) lease: LeaseId,
    pub(super) worker: WorkerId,
    pub(super) need: Resources,
}

impl GrantPool {
    /// Time for which ended grants are reported; the scheduler queries every second and ignores repetitions.
    const ENDED_RETENTION_MS: u64 = 30_000;

    pub(super) fn add(&mut self, now_ms: u64, worker: WorkerId, lease: LeaseId, resources: Resources) {
        if self.ended.iter().any(|ended| ended.lease == lease) {
            return;
        }
        self.grants.entry(lease).or_insert(Grant {
            worker,
            resources,
            free: resources,
            recalled: false,
            is_unconfirmed: false,
            confirmed_ms: now_ms,
            last_use: 0,
        });
    }

    /// Takes a ticket from a free grant that was confirmed within `max_age_ms`, on a worker not in `excluded_workers`.
    pub(super) fn pick(
        &mut self,
        now_ms: u64,
        max_age_ms: u64,
        need: Resources,
        excluded_workers: &[WorkerId],
    ) -> Option<Ticket> {
        let is_usable = |grant: &&mut Grant| {
            !grant.recalled
                && !grant.is_unconfirmed
                && grant.free.fits(need)
                && now_ms.saturating_sub(grant.confirmed_ms) <= max_age_ms
                && !excluded_workers.contains(&grant.worker)
        };
        let (lease, grant) = self
            .grants
            .iter_mut()
            .filter(|(_, grant)| is_usable(grant))
            .min_by_key(|(_, grant)| grant.last_use)?;
        self.use_count += 1;
        grant.last_use = self.use_count;
        grant.free -= need;
        Some(Ticket {
            lease: *lease,
            worker: grant.worker.clone(),
            need,
        })
    }

    pub(super) fn release_ticket(&mut self, ticket: &Ticket) {
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

    /// Stops new work on a draining worker; running tasks continue.
    pub(super) fn recall_worker(&mut self, worker: &WorkerId) {
        for grant in self.grants.values_mut().filter(|grant| grant.worker == *worker) {
            grant.recalled = true;
        }
    }

    /// Removes and returns the unused recalled grants; the caller revokes them at their workers.
    pub(super) fn take_recalled(&mut self) -> Vec<(WorkerId, LeaseId)> {
        let is_idle = |grant: &Grant| grant.recalled && grant.free == grant.resources;
        let leases: Vec<LeaseId> = self
            .grants
            .iter()
            .filter(|(_, grant)| is_idle(grant))
            .map(|(lease, _)| *lease)
            .collect();
        leases
            .into_iter()
            .filter_map(|lease| Some((self.grants.remove(&lease)?.worker, lease)))
            .collect()
    }

    /// Removes a grant that its worker no longer holds, and adds it to the ended grants that are reported.
    pub(super) fn end(&mut self, now_ms: u64, worker: WorkerId, lease: LeaseId) {
        self.grants.remove(&lease);
        self.ended.retain(|ended| ended.lease != lease);
        self.ended.push(EndedGrant {
            worker,
            lease,
            at_ms: now_ms,
        });
    }

    pub(super) fn confirm(&mut self, now_ms: u64, lease: LeaseId) {
        if let Some(grant) = self.grants.get_mut(&lease) {
            grant.confirmed_ms = now_ms;
            grant.is_unconfirmed = false;
        }
    }

    /// Sends no requests to a worker that failed to accept or answer one, until it confirms its leases again.
    pub(super) fn mark_unconfirmed(&mut self, worker: &WorkerId) {
        for grant in self.grants.values_mut().filter(|grant| grant.worker == *worker) {
            grant.is_unconfirmed = true;
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

    /// Returns the grants that were not confirmed within their time to live.
    pub(super) fn expired(&self, now_ms: u64, ttl_ms: u64) -> Vec<(WorkerId, LeaseId)> {
        self.grants
            .iter()
            .filter(|(_, grant)| now_ms.saturating_sub(grant.confirmed_ms) > ttl_ms)
            .map(|(lease, grant)| (grant.worker.clone(), *lease))
            .collect()
    }

    /// Returns the grants that ended recently.
    pub(super) fn ended(&mut self, now_ms: u64) -> Vec<(WorkerId, LeaseId)> {
        self.ended
            .retain(|ended| now_ms.saturating_sub(ended.at_ms) < Self::ENDED_RETENTION_MS);
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
