use model::Class;
use smallvec::SmallVec;

use crate::amount::Amount;
use crate::arrange::{Arrangement, Candidate, arrange};
use crate::job::{Job, State};
use crate::{Decision, GuaranteedShare, JobKey, WorkerKey};

/// What may be ended for a job in its organisation's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evict {
    Nothing,
    /// Work that stands outside of its owner's share.
    Borrowers,
    /// Borrowers, and the owner's own work that fills the share with something other than a guaranteed shape.
    Own,
}

impl GuaranteedShare {
    /// Run time up to which urgent work stops a job rather than wait for its checkpoint.
    const CHEAP_LOSS_MS: u64 = 60_000;
    /// Workers that are looked at for urgent work to preempt on.
    const URGENT_TRIES: usize = 16;

    /// Finds workers for the job within its organisation's share, either free or occupied by borrowers.
    pub(crate) fn find_in_share(&self, now_ms: u64, key: JobKey, evict: Evict) -> Option<Arrangement<WorkerKey>> {
        let job = &self.jobs[key];
        let org = &self.orgs[usize::from(job.organisation)];
        let used = if evict == Evict::Own {
            Amount::default()
        } else {
            org.charged
        };
        if !(org.guaranteed - used).fits(job.total_need()) {
            return None;
        }
        let need = job.need();
        let mut rest = org.share_workers.as_slice();
        while let Some(first) = rest.first() {
            let dc = self.cluster.workers[*first].dc;
            let end = rest
                .iter()
                .position(|&w| self.cluster.workers[w].dc != dc)
                .unwrap_or(rest.len());
            let (members, others) = rest.split_at(end);
            rest = others;
            if !self.cluster.dcs[dc].allows_start(now_ms, job.shape.parts) {
                continue;
            }
            let candidates: SmallVec<[Candidate<WorkerKey>; 32]> = members
                .iter()
                .filter(|worker| !job.failed_on.contains(worker))
                .filter_map(|&key| {
                    let worker = &self.cluster.workers[key];
                    let mut room = worker.entitlement(job.organisation);
                    let mut free = worker.free;
                    if evict != Evict::Nothing {
                        free = self.room_after_eviction(key, free, |_| true);
                    }
                    if evict == Evict::Own {
                        let own = self.own_room(key, job.organisation, job.priority);
                        room += own;
                        free += own;
                    }
                    room = room.min(free);
                    let count = room.count_of(need);
                    (worker.is_usable() && count > 0).then_some(Candidate {
                        key,
                        rack: worker.rack,
                        count,
                    })
                })
                .collect();
            let found = arrange(&candidates, job.shape.parts, job.shape.adjacency);
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Returns whether the job has a shape that its organisation is guaranteed.
    pub(crate) fn is_guaranteed_shape(&self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        self.orgs[usize::from(job.organisation)].shapes.contains(&job.shape)
    }

    /// Returns whether the job uses its organisation's share for something other than a guaranteed shape and may be
    /// ended for one.
    fn is_own_victim(&self, key: JobKey, worker: WorkerKey, organisation: u16, priority: u8) -> bool {
        let job = &self.jobs[key];
        job.organisation == organisation
            && job.is_preemptible()
            && job.class == Class::Deferred
            && job.priority <= priority
            && matches!(job.state, State::Starting | State::Running)
            && !self.is_guaranteed_shape(key)
            && job
                .parts
                .iter()
                .any(|part| part.worker == worker && part.charge == job.need())
    }

    /// Returns what such jobs hold of the share on a worker.
    fn own_room(&self, worker: WorkerKey, organisation: u16, priority: u8) -> Amount {
        let jobs = self.cluster.workers[worker].jobs.iter();
        let own = jobs.filter(|&&job| self.is_own_victim(job, worker, organisation, priority));
        own.fold(Amount::default(), |sum, &job| sum + self.jobs[job].need())
    }

    /// Ends the organisation's own smaller work in its share until the guaranteed shape fits there.
    pub(crate) fn clear_share(
        &mut self,
        now_ms: u64,
        key: JobKey,
        found: &Arrangement<WorkerKey>,
        out: &mut Vec<Decision>,
    ) {
        let job = &self.jobs[key];
        let (organisation, need, priority) = (job.organisation, job.need(), job.priority);
        for &(worker, parts) in found {
            while !self.cluster.workers[worker]
                .entitlement(organisation)
                .fits(need.times(parts))
            {
                let jobs = self.cluster.workers[worker].jobs.iter().copied();
                let victims = jobs.filter(|&job| self.is_own_victim(job, worker, organisation, priority));
                let latest = victims.max_by_key(|&job| (self.jobs[job].started_ms, job));
                let Some(victim) = latest else {
                    break;
                };
                out.push(self.preempt_for(now_ms, key, victim));
            }
        }
    }

    /// Returns `room` plus what stopping work and the evictable jobs hold on the worker.
    pub(crate) fn room_after_eviction(&self, key: WorkerKey, room: Amount, evictable: impl Fn(&Job) -> bool) -> Amount {
        let worker = &self.cluster.workers[key];
        let victims = worker
            .jobs
            .iter()
            .filter(|&&job| self.is_victim(job, key) && evictable(&self.jobs[job]));
        victims.fold(room + worker.stopping, |sum, &job| sum + self.jobs[job].need())
    }

    /// Returns whether the job stands on the worker outside of its owner's share and may be ended for another.
    fn is_victim(&self, key: JobKey, worker: WorkerKey) -> bool {
        let job = &self.jobs[key];
        job.is_preemptible()
            && matches!(job.state, State::Claiming | State::Starting | State::Running)
            && job
                .parts
                .iter()
                .any(|part| part.worker == worker && part.charge != job.need())
    }

    /// Lets the job hold the workers and preempts what stands there; it starts once that has left.
    pub(crate) fn claim(
        &mut self,
        now_ms: u64,
        key: JobKey,
        found: &Arrangement<WorkerKey>,
        charged: bool,
        evictable: impl Fn(&Job) -> bool,
        out: &mut Vec<Decision>,
    ) {
        self.hold(key, found, charged);
        self.jobs[key].state = State::Claiming;
        for &(worker, _) in found {
            while let Some(victim) = self.next_victim(key, worker, &evictable) {
                if self.jobs[victim].state == State::Claiming {
                    self.unclaim(victim);
                } else {
                    out.push(self.preempt_for(now_ms, key, victim));
                }
            }
        }
        if self.is_covered(key) {
            out.push(self.start(now_ms, key));
        }
    }

    /// Returns the next job to end on an overdrawn worker: deferred before urgent, then the one that loses least.
    fn next_victim(&self, claimant: JobKey, worker: WorkerKey, evictable: impl Fn(&Job) -> bool) -> Option<JobKey> {
        let state = &self.cluster.workers[worker];
        if !(state.free + state.stopping).is_overdrawn() {
            return None;
        }
        let victims = state
            .jobs
            .iter()
            .copied()
            .filter(|&job| job != claimant && self.is_victim(job, worker) && evictable(&self.jobs[job]));
        victims.min_by_key(|&victim| {
            let job = &self.jobs[victim];
            let running = job.state != State::Claiming;
            let urgent = job.class == Class::Urgent;
            (
                urgent,
                running,
                std::cmp::Reverse(job.started_ms),
                job.parts.len(),
                victim,
            )
        })
    }

    fn preempt_for(&mut self, now_ms: u64, claimant: JobKey, victim: JobKey) -> Decision {
        let urgent = self.is_urgent(claimant);
        let job = &self.jobs[victim];
        let cheap = job.idempotent && now_ms.saturating_sub(job.started_ms) < Self::CHEAP_LOSS_MS;
        let mut decision = self.preempt(victim);
        if urgent
            && cheap
            && let Decision::Preempt { mode, .. } = &mut decision
        {
            *mode = crate::Preemption::Stop;
        }
        decision
    }

    /// Ends deferred work that stands outside of its owner's share, so that an urgent job can start.
    pub(crate) fn preempt_for_urgent(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Decision>) -> bool {
        let job = &self.jobs[key];
        if job.shape.parts > 1 {
            return false;
        }
        let need = job.need();
        let preemptible = job.is_preemptible();
        let deferred = |job: &Job| job.class == Class::Deferred;
        let mut best: Option<(u64, WorkerKey)> = None;
        for dc in self.dcs_by_room() {
            if !self.cluster.dcs[dc].allows_start(now_ms, 1) {
                continue;
            }
            for worker in self.cluster.borrowed_workers(dc).take(Self::URGENT_TRIES) {
                let state = &self.cluster.workers[worker];
                let limit = state.capacity - state.guaranteed - state.hard;
                let mut room = self.room_after_eviction(worker, state.free, deferred);
                if !preemptible {
                    room = room.min(limit);
                }
                if !state.is_usable() || !room.fits(need) || job.failed_on.contains(&worker) {
                    continue;
                }
                let victims = state.jobs.iter().filter(|&&job| self.is_victim(job, worker));
                let latest = victims.map(|&job| self.jobs[job].started_ms).max().unwrap_or(0);
                if best.is_none_or(|known| (latest, worker) > known) {
                    best = Some((latest, worker));
                }
            }
        }
        let Some((_, worker)) = best else {
            return false;
        };
        self.claim(now_ms, key, &SmallVec::from_elem((worker, 1), 1), false, deferred, out);
        true
    }
}
