use model::Class;
use smallvec::SmallVec;

use crate::amount::Amount;
use crate::arrange::{Arrangement, Candidate, arrange};
use crate::job::{Job, Standing, State};
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
    const CHEAP_LOSS_MS: u64 = 15_000;
    /// Time that a checkpoint and the wait for another start cost, about the grace period.
    const CHECKPOINT_COST_MS: u64 = 2_000;
    /// Workers that are looked at for urgent work to preempt on.
    const URGENT_TRIES: usize = 16;

    /// Finds workers for the job within its organisation's share, either free or occupied by borrowers.
    pub(crate) fn find_in_share(
        &self,
        now_ms: u64,
        key: JobKey,
        index: u16,
        evict: Evict,
    ) -> Option<Arrangement<WorkerKey>> {
        let job = &self.jobs[key];
        let share = &self.shares[usize::from(index)];
        let used = if evict == Evict::Own {
            Amount::default()
        } else {
            share.charged
        };
        if !(share.guaranteed - used).fits(job.total_need()) {
            return None;
        }
        let need = job.need();
        let mut rest = share.workers.as_slice();
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
                    let mut room = worker.entitlement(index);
                    let mut free = worker.free;
                    if evict != Evict::Nothing {
                        free = self.room_after_eviction(key, free, |_| true);
                    }
                    if evict == Evict::Own {
                        let own = self.own_room(key, index, job.priority);
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

    /// Returns the share for the job's own shape.
    pub(crate) fn share_of_shape(&self, key: JobKey) -> Option<u16> {
        let job = &self.jobs[key];
        let shares = self.orgs[usize::from(job.organisation)].shares.iter().copied();
        shares
            .into_iter()
            .find(|&share| self.shares[usize::from(share)].shape == job.shape)
    }

    /// Returns whether the job uses the share for another shape and may be ended for the guaranteed one.
    fn is_own_victim(&self, key: JobKey, worker: WorkerKey, share: u16, priority: u8) -> bool {
        let job = &self.jobs[key];
        job.is_preemptible()
            && job.class == Class::Deferred
            && job.priority <= priority
            && matches!(job.state, State::Starting | State::Running)
            && job.shape != self.shares[usize::from(share)].shape
            && job
                .parts
                .iter()
                .any(|part| part.worker == worker && part.charges.iter().any(|charge| charge.share == share))
    }

    /// Returns what such jobs hold of the share on a worker.
    fn own_room(&self, worker: WorkerKey, share: u16, priority: u8) -> Amount {
        let jobs = self.cluster.workers[worker].jobs.iter();
        let own = jobs.filter(|&&job| self.is_own_victim(job, worker, share, priority));
        own.fold(Amount::default(), |sum, &job| sum + self.jobs[job].need())
    }

    /// Ends the organisation's own work of other shapes in the share until the guaranteed shape fits there.
    pub(crate) fn clear_share(
        &mut self,
        now_ms: u64,
        key: JobKey,
        share: u16,
        found: &Arrangement<WorkerKey>,
        out: &mut Vec<Decision>,
    ) {
        let job = &self.jobs[key];
        let (need, priority) = (job.need(), job.priority);
        for &(worker, parts) in found {
            while !self.cluster.workers[worker].entitlement(share).fits(need.times(parts)) {
                let jobs = self.cluster.workers[worker].jobs.iter().copied();
                let victims = jobs.filter(|&job| self.is_own_victim(job, worker, share, priority));
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
    pub(crate) fn is_victim(&self, key: JobKey, worker: WorkerKey) -> bool {
        let job = &self.jobs[key];
        job.is_evictable()
            && matches!(job.state, State::Claiming | State::Starting | State::Running)
            && job
                .parts
                .iter()
                .any(|part| part.worker == worker && part.charged() != job.need())
    }

    /// Lets the job hold the workers and preempts what stands there; it starts once that has left.
    pub(crate) fn claim(
        &mut self,
        now_ms: u64,
        key: JobKey,
        found: &Arrangement<WorkerKey>,
        share: Option<u16>,
        evictable: impl Fn(&Job) -> bool,
        out: &mut Vec<Decision>,
    ) {
        let standing = if share.is_none() {
            self.standing_of(now_ms, key)
        } else {
            Standing::Evictable
        };
        self.hold(key, found, share, standing);
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
            let cost = if self.is_urgent(claimant) {
                self.urgent_cost(victim)
            } else {
                self.eviction_cost(victim)
            };
            (urgent, running, cost, victim)
        })
    }

    /// Returns the accelerator time that is lost if the job is ended now.
    pub(crate) fn eviction_cost(&self, key: JobKey) -> u64 {
        let job = &self.jobs[key];
        let elapsed_ms = self.now_ms.saturating_sub(job.started_ms);
        let lost_ms = if job.checkpointable {
            elapsed_ms.min(Self::CHECKPOINT_COST_MS)
        } else {
            elapsed_ms
        };
        (lost_ms + Self::CHECKPOINT_COST_MS) * u64::from(job.shape.accelerators().max(1))
    }

    /// Returns the accelerator time that is lost if the job makes way for urgent work.
    ///
    /// Work that may run again is stopped without a checkpoint while that loses little, as a checkpoint may take longer
    /// than an urgent caller waits.
    fn urgent_cost(&self, key: JobKey) -> u64 {
        let job = &self.jobs[key];
        let elapsed_ms = self.now_ms.saturating_sub(job.started_ms);
        if job.idempotent {
            (elapsed_ms + 1) * u64::from(job.shape.accelerators().max(1))
        } else {
            self.eviction_cost(key) + Self::CHECKPOINT_COST_MS
        }
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
                let victims = state
                    .jobs
                    .iter()
                    .filter(|&&job| self.is_victim(job, worker) && deferred(&self.jobs[job]));
                let cost = victims.map(|&job| self.urgent_cost(job)).min().unwrap_or(0);
                if best.is_none_or(|known| (cost, worker) < known) {
                    best = Some((cost, worker));
                }
            }
        }
        let Some((_, worker)) = best else {
            return false;
        };
        self.claim(now_ms, key, &SmallVec::from_elem((worker, 1), 1), None, deferred, out);
        true
    }
}
