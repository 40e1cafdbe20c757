use std::collections::BTreeSet;

use model::{Class, Refusal};
use smallvec::SmallVec;

use crate::health::Health;
use crate::job::{PlacementKind, QueueId, State};
use crate::reclaim::EvictionScope;
use crate::worker::View;
use crate::{Decision, GuaranteedShare, JobKey, WorkerKey};

/// Failed searches of one pass. Capacity only shrinks during a pass, so they need not be repeated.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// Queues for which no capacity outside of shares was found.
    pub no_capacity: BTreeSet<QueueId>,
    /// Queues of one organisation whose head cannot start.
    blocked: BTreeSet<(u16, QueueId)>,
}

impl GuaranteedShare {
    /// Bound on starts in one call, so that a burst does not block the caller for long.
    const MAX_STARTS: usize = 256;
    /// Queues of one organisation that are tried for one start.
    const MAX_QUEUES_TRIED: usize = 32;
    /// Delay before the next search for a job that can probe a quarantined worker.
    const PROBE_RETRY_MS: u64 = 1_000;
    /// Expected run time up to which work without checkpoints may borrow capacity that is guaranteed to others.
    const SHORT_RUN_MS: u64 = 60_000;
    /// Wait after which longer work without checkpoints borrows too, as there may be no other capacity for it.
    const OVERDUE_MS: u64 = 3_600_000;
    /// Interval at which the plan is recomputed while non-preemptible work occupies guaranteed capacity.
    const REPLAN_INTERVAL_MS: u64 = 2_000;
    /// Interval between passes while a data centre is in slow start.
    const SLOW_START_POLL_MS: u64 = 100;

    pub(crate) fn run_passes(&mut self, now_ms: u64, out: &mut Vec<Decision>) {
        self.now_ms = now_ms;
        if !self.dirty && self.pending_decisions.is_empty() && now_ms < self.wake_ms {
            return;
        }
        self.dirty = false;
        self.urgent.update(now_ms);
        self.end_due_exclusions(now_ms);
        self.expire(now_ms);
        for dc in &mut self.cluster.dcs {
            dc.end_slow_start(now_ms);
        }
        if self.has_blocked_shares && now_ms >= self.next_replan_ms {
            self.next_replan_ms = now_ms + Self::REPLAN_INTERVAL_MS;
            self.replan();
            self.dirty = false;
        }
        let first = out.len();
        out.append(&mut self.pending_decisions);
        for decision in &out[first..] {
            if let Decision::Refuse { job, .. } | Decision::Fail { job, .. } = decision {
                self.jobs.remove(*job);
            }
        }
        self.start_preemptors(now_ms, out);
        self.use_reservations(now_ms, out);
        self.send_probes(now_ms, out);
        self.start_queued(now_ms, Class::Urgent, out);
        self.start_queued(now_ms, Class::Deferred, out);
        self.place_waiting_wide_jobs(now_ms, out);
        self.wake_ms = self.next_wake_ms(now_ms);
    }

    fn next_wake_ms(&self, now_ms: u64) -> u64 {
        let deadline = self.deadlines.first().map(|entry| entry.0 + 1);
        let exclusion = self.exclusions.first().map(|entry| entry.0);
        let probe = self.probes.first().map(|entry| entry.0);
        let in_slow_start = self.cluster.dcs.iter().any(|dc| dc.resumed_ms.is_some());
        let waiting = !self.waiting.is_empty();
        let replan = self.has_blocked_shares.then_some(self.next_replan_ms);
        [
            replan,
            deadline,
            exclusion,
            probe,
            in_slow_start.then_some(now_ms + Self::SLOW_START_POLL_MS),
            waiting.then_some(self.next_scan_ms),
        ]
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(u64::MAX)
    }

    fn end_due_exclusions(&mut self, now_ms: u64) {
        while let Some(&(until, worker)) = self.exclusions.first()
            && until <= now_ms
        {
            self.end_exclusion(worker);
        }
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some(&(deadline, job)) = self.deadlines.first()
            && deadline < now_ms
        {
            let refusal = Refusal::DeadlinePassed;
            self.give_up(job, Decision::Refuse { job, refusal });
        }
    }

    /// Starts preemptors whose workers no longer run the preempted work.
    fn start_preemptors(&mut self, now_ms: u64, out: &mut Vec<Decision>) {
        let mut freed_workers = std::mem::take(&mut self.freed_workers);
        freed_workers.sort_unstable();
        freed_workers.dedup();
        for worker in freed_workers {
            let jobs: SmallVec<[JobKey; 8]> = self.cluster.workers[worker].jobs.clone();
            for job in jobs {
                if self.jobs[job].state == State::AwaitingPreemption && self.is_covered(job) {
                    out.push(self.start(now_ms, job));
                }
            }
        }
    }

    /// Starts one idempotent job of one part on each quarantined worker whose probe is due.
    fn send_probes(&mut self, now_ms: u64, out: &mut Vec<Decision>) {
        while let Some(&(due, key)) = self.probes.first()
            && due <= now_ms
        {
            self.probes.remove(&(due, key));
            let worker = &self.cluster.workers[key];
            let ready = worker.is_serving() && worker.excluded_until_ms == 0 && worker.health.probe.is_none();
            let job = ready.then(|| self.find_probe(now_ms, key)).flatten();
            let next = now_ms
                + if job.is_some() {
                    Health::PROBE_INTERVAL_MS
                } else {
                    Self::PROBE_RETRY_MS
                };
            let unprobed = !self.waiting.is_empty() && now_ms >= worker.health.quarantined_ms + Health::UNPROBED_MS;
            if ready && job.is_none() && (unprobed || self.is_gang_waiting_for(key)) {
                self.begin_probation(key);
                continue;
            }
            if let Some(job) = job {
                self.allocate(job, &SmallVec::from_elem((key, 1), 1), None, PlacementKind::Evictable);
                self.cluster.workers[key].health.probe = Some(job);
                out.push(self.start(now_ms, job));
            }
            self.cluster.workers[key].health.next_probe_ms = next;
            self.probes.insert((next, key));
        }
    }

    fn find_probe(&self, now_ms: u64, key: WorkerKey) -> Option<JobKey> {
        let worker = &self.cluster.workers[key];
        if !self.cluster.dcs[worker.dc].allows_start(now_ms, 1) {
            return None;
        }
        let deferred = self.orgs.iter().flat_map(|org| org.heads(Class::Deferred));
        deferred
            .map(|(_, _, job)| job)
            .filter(|&job| {
                let job = &self.jobs[job];
                job.shape.parts == 1 && job.idempotent && worker.free.fits(job.need()) && !job.failed_on.contains(&key)
            })
            .min_by_key(|&job| (self.jobs[job].failed_on.len(), job))
    }

    /// Returns whether an idempotent gang waits that could use the worker, which then needs no probe.
    fn is_gang_waiting_for(&self, key: WorkerKey) -> bool {
        let mut heads = self.orgs.iter().flat_map(|org| org.heads(Class::Deferred));
        heads.any(|(_, _, job)| {
            let job = &self.jobs[job];
            job.shape.parts > 1 && job.idempotent && !job.failed_on.contains(&key)
        })
    }

    /// Starts queued jobs of a class, by organisation: below its guarantee first, then by weighted dominant share.
    fn start_queued(&mut self, now_ms: u64, class: Class, out: &mut Vec<Decision>) {
        let mut pass = Pass::default();
        let mut open: Vec<u16> = (0..self.orgs.len() as u16)
            .filter(|&org| self.orgs[usize::from(org)].queued[class as usize] > 0)
            .collect();
        let total = (self.cluster.dcs.iter()).fold(crate::amount::Amount::default(), |sum, dc| sum + dc.total);
        let mut starts = 0;
        while !open.is_empty() {
            let key = |org: u16| {
                let org = &self.orgs[usize::from(org)];
                let share = org.usage.dominant_share(total) / f64::from(org.weight);
                (!org.is_below_guarantee(), share)
            };
            let next = (0..open.len())
                .min_by(|&a, &b| key(open[a]).partial_cmp(&key(open[b])).expect("shares are finite"))
                .expect("the list of organisations is not empty");
            if starts == Self::MAX_STARTS {
                self.dirty = true;
                return;
            }
            if self.start_next(now_ms, open[next], class, &mut pass, out) {
                starts += 1;
            } else {
                open.swap_remove(next);
            }
        }
    }

    /// Starts one job of the organisation; returns whether one could start.
    fn start_next(&mut self, now_ms: u64, org: u16, class: Class, pass: &mut Pass, out: &mut Vec<Decision>) -> bool {
        let heads = self.orgs[usize::from(org)].heads(class);
        let mut heads: SmallVec<[_; 32]> = heads
            .filter(|(_, queue, _)| !pass.blocked.contains(&(org, *queue)))
            .collect();
        heads.sort_unstable();
        for (_, queue, job) in heads.into_iter().take(Self::MAX_QUEUES_TRIED) {
            if self.try_start(now_ms, job, queue, pass, out) {
                return true;
            }
            pass.blocked.insert((org, queue));
        }
        false
    }

    fn try_start(
        &mut self,
        now_ms: u64,
        key: JobKey,
        queue: QueueId,
        pass: &mut Pass,
        out: &mut Vec<Decision>,
    ) -> bool {
        let job = &self.jobs[key];
        if !self.orgs[usize::from(job.organisation)].allows(job.shape.accelerators() as i32) {
            return false;
        }
        // A guaranteed shape starts in its share. Other work avoids shares while there is free capacity elsewhere.
        let own = self.share_of_shape(key);
        let shares = self.orgs[usize::from(self.jobs[key].organisation)].shares.clone();
        let others = || shares.iter().copied().filter(|&share| Some(share) != own);
        if own.is_some_and(|share| self.start_in_share(now_ms, key, share, out)) {
            return true;
        }
        let last = self.view_of(now_ms, key);
        let may_have_capacity = !pass.no_capacity.contains(&queue) || self.is_overdue(now_ms, key);
        if may_have_capacity && self.start_outside(now_ms, key, View::Spare, out) {
            return true;
        }
        if own.is_none() && others().any(|share| self.start_in_share(now_ms, key, share, out)) {
            return true;
        }
        if may_have_capacity {
            if self.start_outside(now_ms, key, last, out) {
                return true;
            }
            if self.jobs[key].failed_on.is_empty() && !self.is_overdue(now_ms, key) {
                pass.no_capacity.insert(queue);
            }
        }
        if let Some(worker) = self.find_backfill(now_ms, key) {
            self.allocate(key, &SmallVec::from_elem((worker, 1), 1), None, PlacementKind::Backfill);
            out.push(self.start(now_ms, key));
            return true;
        }
        if self.is_urgent(key) && self.preempt_for_urgent(now_ms, key, out) {
            return true;
        }
        if let Some(share) = own
            && (self.reclaim(now_ms, key, share, EvictionScope::Borrowers, out)
                || self.reclaim(now_ms, key, share, EvictionScope::BorrowersAndOwn, out))
        {
            return true;
        }
        // Beyond its guaranteed count, a shape may use the shares of the other shapes, as any work may.
        if own.is_some() && others().any(|share| self.start_in_share(now_ms, key, share, out)) {
            return true;
        }
        others().any(|share| self.reclaim(now_ms, key, share, EvictionScope::Borrowers, out))
    }

    /// Returns whether the job may borrow capacity that is guaranteed to others, where it may be preempted.
    ///
    /// Long work without checkpoints would lose too much there, so it first waits for capacity outside of guarantees.
    pub(crate) fn borrows(&self, now_ms: u64, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let loses_little = job.checkpointable
            || job.class == Class::Urgent
            || self.expected_run_ms(key) <= Self::SHORT_RUN_MS
            || self.is_overdue(now_ms, key);
        job.is_preemptible() && loses_little
    }

    /// Returns the capacity outside of its organisation's shares that the job may use.
    pub(crate) fn view_of(&self, now_ms: u64, key: JobKey) -> View {
        if self.borrows(now_ms, key) {
            View::Free
        } else {
            View::NonEvictable
        }
    }

    /// Returns the placement kind of the job in capacity outside of its organisation's shares.
    pub(crate) fn placement_kind_of(&self, now_ms: u64, key: JobKey) -> PlacementKind {
        if self.borrows(now_ms, key) {
            PlacementKind::Evictable
        } else {
            PlacementKind::Protected
        }
    }

    /// Returns whether the job has waited so long that it borrows no matter how much work it may lose.
    fn is_overdue(&self, now_ms: u64, key: JobKey) -> bool {
        now_ms >= self.jobs[key].submitted_ms + Self::OVERDUE_MS
    }

    /// Allocates workers of a share to the job and preempts the work there that `scope` includes.
    fn reclaim(&mut self, now_ms: u64, key: JobKey, share: u16, scope: EvictionScope, out: &mut Vec<Decision>) -> bool {
        let found = self.find_in_share(now_ms, key, share, scope);
        found.is_some_and(|found| {
            if scope == EvictionScope::BorrowersAndOwn {
                self.preempt_own_work(now_ms, key, share, &found, out);
            }
            self.preempt_and_allocate(now_ms, key, &found, Some(share), |_| true, out);
            true
        })
    }

    fn start_in_share(&mut self, now_ms: u64, key: JobKey, share: u16, out: &mut Vec<Decision>) -> bool {
        let found = self.find_in_share(now_ms, key, share, EvictionScope::Nothing);
        found.is_some_and(|found| {
            self.allocate(key, &found, Some(share), PlacementKind::Evictable);
            out.push(self.start(now_ms, key));
            true
        })
    }

    fn start_outside(&mut self, now_ms: u64, key: JobKey, view: View, out: &mut Vec<Decision>) -> bool {
        let found = self.find_outside(now_ms, key, view);
        found.is_some_and(|found| {
            let placement_kind = self.placement_kind_of(now_ms, key);
            self.allocate(key, &found, None, placement_kind);
            out.push(self.start(now_ms, key));
            true
        })
    }

    /// Finds free workers outside of the organisation's own share.
    fn find_outside(&self, now_ms: u64, key: JobKey, view: View) -> Option<crate::arrange::Arrangement<WorkerKey>> {
        let job = &self.jobs[key];
        self.dcs_by_free_accelerators().into_iter().find_map(|dc| {
            let state = &self.cluster.dcs[dc];
            let allowed = state.allows_start(now_ms, job.shape.parts)
                && (job.class == Class::Urgent || self.leaves_headroom(dc, job.total_need()));
            if !allowed {
                return None;
            }
            // Jobs of one part that may not borrow are packed onto few workers, where one fits them.
            let is_packed = !self.borrows(now_ms, key) && job.shape.parts == 1;
            let found_worker = is_packed
                .then(|| self.cluster.place_non_evictable(dc, job.need(), &job.failed_on))
                .flatten();
            let found_worker = found_worker.map(|worker| SmallVec::from_elem((worker, 1), 1));
            found_worker.or_else(|| self.cluster.place(dc, view, job.placement_request(), &job.failed_on))
        })
    }

    /// Returns whether the headroom for urgent work stays free after a deferred job of that size is placed.
    fn leaves_headroom(&self, dc: usize, need: crate::amount::Amount) -> bool {
        let state = &self.cluster.dcs[dc];
        let total_capacity = (self.cluster.dcs.iter()).fold(crate::amount::Amount::default(), |sum, dc| sum + dc.total);
        let (slots, accelerators) = self.urgent.headroom(state.total, total_capacity);
        state.free.slots - need.slots >= slots && state.free.accelerators - need.accelerators >= accelerators
    }

    /// Finds a worker with reserved free capacity where this job is expected to end before the reservation is used.
    fn find_backfill(&self, now_ms: u64, key: JobKey) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        if self.reservations.is_empty()
            || job.shape.parts > 1
            || !self.borrows(now_ms, key)
            || job.class == Class::Urgent
        {
            return None;
        }
        let end = now_ms + self.expected_run_ms(key);
        let reserved = self
            .reservations
            .iter()
            .filter(|reservation| end <= reservation.expected_ms);
        reserved
            .flat_map(|reservation| &reservation.workers)
            .map(|entry| entry.0)
            .find(|&worker| {
                let state = &self.cluster.workers[worker];
                state.is_usable()
                    && state.free.fits(job.need())
                    && !job.failed_on.contains(&worker)
                    && self.cluster.dcs[state.dc].allows_start(now_ms, 1)
                    && self.leaves_headroom(state.dc, job.need())
            })
    }
}
