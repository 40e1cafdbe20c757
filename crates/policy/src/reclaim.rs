use model::Class;
use smallvec::SmallVec;

use crate::amount::Amount;
use crate::arrange::{Arrangement, Candidate, arrange};
use crate::job::{Job, PlacementKind, State};
use crate::{Decision, GuaranteedShare, JobKey, WorkerKey};

/// Work that may be preempted for a job that is placed in its organisation's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EvictionScope {
    Nothing,
    /// Work that runs outside of its owner's share.
    Borrowers,
    /// Borrowers, and the owner's work of other shapes than the guaranteed one.
    BorrowersAndOwn,
}

impl GuaranteedShare {
    /// Run time up to which urgent work stops an idempotent job without waiting for a checkpoint.
    const MAX_LOST_RUN_MS: u64 = 15_000;
    /// Assumed cost of a checkpoint and of waiting for the next start, about the grace period.
    const CHECKPOINT_COST_MS: u64 = 2_000;
    /// Workers of a data centre on which preemption for an urgent job is considered.
    const MAX_URGENT_CANDIDATES: usize = 16;

    /// Finds workers for the job within its organisation's share that are free or become free by preemption in `scope`.
    pub(crate) fn find_in_share(
        &self,
        now_ms: u64,
        key: JobKey,
        index: u16,
        scope: EvictionScope,
    ) -> Option<Arrangement<WorkerKey>> {
        let job = &self.jobs[key];
        let share = &self.shares[usize::from(index)];
        let used = if scope == EvictionScope::BorrowersAndOwn {
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
                    let mut available = worker.remaining_share(index);
                    let mut free = worker.free;
                    if scope != EvictionScope::Nothing {
                        free = self.capacity_after_eviction(key, free, |_| true);
                    }
                    if scope == EvictionScope::BorrowersAndOwn {
                        let own = self.own_evictable_amount(key, index, job.priority);
                        available += own;
                        free += own;
                    }
                    available = available.min(free);
                    let count = available.count_of(need);
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

    /// Returns whether the job uses the share for another shape and may be preempted for the guaranteed one.
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

    /// Returns what the jobs that the organisation may preempt in its own share hold on a worker.
    fn own_evictable_amount(&self, worker: WorkerKey, share: u16, priority: u8) -> Amount {
        let jobs = self.cluster.workers[worker].jobs.iter();
        let own = jobs.filter(|&&job| self.is_own_victim(job, worker, share, priority));
        own.fold(Amount::default(), |sum, &job| sum + self.jobs[job].need())
    }

    /// Preempts the organisation's work of other shapes in the share, latest start first, until the guaranteed shape
    /// fits.
    pub(crate) fn preempt_own_work(
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
            while !self.cluster.workers[worker]
                .remaining_share(share)
                .fits(need.times(parts))
            {
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

    /// Returns `available` plus what stopping work and the evictable jobs hold on the worker.
    pub(crate) fn capacity_after_eviction(
        &self,
        key: WorkerKey,
        available: Amount,
        evictable: impl Fn(&Job) -> bool,
    ) -> Amount {
        let worker = &self.cluster.workers[key];
        let victims = worker
            .jobs
            .iter()
            .filter(|&&job| self.is_victim(job, key) && evictable(&self.jobs[job]));
        victims.fold(available + worker.stopping, |sum, &job| sum + self.jobs[job].need())
    }

    /// Returns whether the job runs on the worker outside of its owner's share and may be preempted there.
    pub(crate) fn is_victim(&self, key: JobKey, worker: WorkerKey) -> bool {
        let job = &self.jobs[key];
        job.is_evictable()
            && matches!(job.state, State::AwaitingPreemption | State::Starting | State::Running)
            && job
                .parts
                .iter()
                .any(|part| part.worker == worker && part.charged() != job.need())
    }

    /// Allocates the workers to the job and preempts the work there; the job starts once that work has stopped.
    pub(crate) fn preempt_and_allocate(
        &mut self,
        now_ms: u64,
        key: JobKey,
        found: &Arrangement<WorkerKey>,
        share: Option<u16>,
        evictable: impl Fn(&Job) -> bool,
        out: &mut Vec<Decision>,
    ) {
        let placement_kind = if share.is_none() {
            self.placement_kind_of(now_ms, key)
        } else {
            PlacementKind::Evictable
        };
        self.allocate(key, found, share, placement_kind);
        self.jobs[key].state = State::AwaitingPreemption;
        for &(worker, _) in found {
            while let Some(victim) = self.next_victim(key, worker, &evictable) {
                if self.jobs[victim].state == State::AwaitingPreemption {
                    self.release_and_requeue(victim);
                } else {
                    out.push(self.preempt_for(now_ms, key, victim));
                }
            }
        }
        if self.is_covered(key) {
            out.push(self.start(now_ms, key));
        }
    }

    /// Returns the next job to preempt on an overdrawn worker: deferred before urgent, not yet started before running,
    /// then the one that loses least.
    fn next_victim(&self, preemptor: JobKey, worker: WorkerKey, evictable: impl Fn(&Job) -> bool) -> Option<JobKey> {
        let state = &self.cluster.workers[worker];
        if !(state.free + state.stopping).is_overdrawn() {
            return None;
        }
        let victims = state
            .jobs
            .iter()
            .copied()
            .filter(|&job| job != preemptor && self.is_victim(job, worker) && evictable(&self.jobs[job]));
        victims.min_by_key(|&victim| {
            let job = &self.jobs[victim];
            let running = job.state != State::AwaitingPreemption;
            let urgent = job.class == Class::Urgent;
            let cost = if self.is_urgent(preemptor) {
                self.urgent_eviction_cost(victim)
            } else {
                self.eviction_cost(victim)
            };
            (urgent, running, cost, victim)
        })
    }

    /// Returns the accelerator time that is lost if the job is preempted now.
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

    /// Returns the accelerator time that is lost if the job is preempted for urgent work.
    ///
    /// Idempotent work is stopped without a checkpoint while that loses little, as a checkpoint may take longer than an
    /// urgent caller waits.
    fn urgent_eviction_cost(&self, key: JobKey) -> u64 {
        let job = &self.jobs[key];
        let elapsed_ms = self.now_ms.saturating_sub(job.started_ms);
        if job.idempotent {
            (elapsed_ms + 1) * u64::from(job.shape.accelerators().max(1))
        } else {
            self.eviction_cost(key) + Self::CHECKPOINT_COST_MS
        }
    }

    fn preempt_for(&mut self, now_ms: u64, preemptor: JobKey, victim: JobKey) -> Decision {
        let urgent = self.is_urgent(preemptor);
        let job = &self.jobs[victim];
        let loses_little = job.idempotent && now_ms.saturating_sub(job.started_ms) < Self::MAX_LOST_RUN_MS;
        let mut decision = self.preempt(victim);
        if urgent
            && loses_little
            && let Decision::Preempt { mode, .. } = &mut decision
        {
            *mode = crate::Preemption::Stop;
        }
        decision
    }

    /// Preempts deferred work outside of its owner's share, so that an urgent job can start.
    pub(crate) fn preempt_for_urgent(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Decision>) -> bool {
        let job = &self.jobs[key];
        if job.shape.parts > 1 {
            return false;
        }
        let need = job.need();
        let preemptible = job.is_preemptible();
        let deferred = |job: &Job| job.class == Class::Deferred;
        let mut best: Option<(u64, WorkerKey)> = None;
        for dc in self.dcs_by_free_accelerators() {
            if !self.cluster.dcs[dc].allows_start(now_ms, 1) {
                continue;
            }
            for worker in self.cluster.borrowed_workers(dc).take(Self::MAX_URGENT_CANDIDATES) {
                let state = &self.cluster.workers[worker];
                let limit = state.capacity - state.guaranteed - state.non_evictable;
                let mut available = self.capacity_after_eviction(worker, state.free, deferred);
                if !preemptible {
                    available = available.min(limit);
                }
                if !state.is_usable() || !available.fits(need) || job.failed_on.contains(&worker) {
                    continue;
                }
                let victims = state
                    .jobs
                    .iter()
                    .filter(|&&job| self.is_victim(job, worker) && deferred(&self.jobs[job]));
                let cost = victims.map(|&job| self.urgent_eviction_cost(job)).min().unwrap_or(0);
                if best.is_none_or(|known| (cost, worker) < known) {
                    best = Some((cost, worker));
                }
            }
        }
        let Some((_, worker)) = best else {
            return false;
        };
        self.preempt_and_allocate(now_ms, key, &SmallVec::from_elem((worker, 1), 1), None, deferred, out);
        true
    }
}
