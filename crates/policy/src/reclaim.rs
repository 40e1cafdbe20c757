use model::Class;
use smallvec::SmallVec;

use crate::amount::Amount;
use crate::arrange::{Arrangement, Candidate, arrange};
use crate::job::{Job, State};
use crate::{Decision, GuaranteedShare, JobKey, WorkerKey};

impl GuaranteedShare {
    /// Run time up to which urgent work stops a job rather than wait for its checkpoint.
    const CHEAP_LOSS_MS: u64 = 60_000;
    /// Workers that are looked at for urgent work to preempt on.
    const URGENT_TRIES: usize = 16;

    /// Finds workers for the job within its organisation's share, either free or occupied by borrowers.
    pub(crate) fn find_in_share(&self, now_ms: u64, key: JobKey, evict: bool) -> Option<Arrangement<WorkerKey>> {
        let job = &self.jobs[key];
        let org = &self.orgs[usize::from(job.organisation)];
        if !(org.guaranteed - org.charged).fits(job.total_need()) {
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
                    if evict {
                        let after = self.room_after_eviction(key, worker.free, |_| true);
                        room = room.min(after);
                    } else {
                        room = room.min(worker.free);
                    }
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
    ) -> bool {
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
        true
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
        self.claim(now_ms, key, &SmallVec::from_elem((worker, 1), 1), false, deferred, out)
    }
}
