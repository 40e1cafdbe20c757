use model::{Adjacency, Class};
use smallvec::SmallVec;

use crate::arrange::Arrangement;
use crate::cluster::PlacementRequest;
use crate::job::{Job, State};
use crate::reservation::Reservation;
use crate::{Decision, GuaranteedShare, JobKey, WorkerKey};

impl GuaranteedShare {
    /// Wait in typical run times after which other work is preempted for a wide job. Shorter waits end without it.
    const RUNS_BEFORE_PREEMPTION: f64 = 2.0;
    /// Wait in typical run times after which a wide job gets a reservation. Reserved capacity idles, so reservations
    /// come after preemption, for jobs that preemption cannot place.
    const RUNS_BEFORE_RESERVATION: f64 = 24.0;
    /// Interval at which waiting wide jobs are scanned.
    pub(crate) const SCAN_INTERVAL_MS: u64 = 500;
    /// Bound on reservations, which limits the capacity that idles for wide jobs.
    const MAX_RESERVATIONS: usize = 1;
    /// Waiting wide jobs that are tried in one scan, oldest first.
    const MAX_WIDE_JOBS_TRIED: usize = 16;
    /// Racks that are searched for the earliest start.
    const MAX_RACKS_SEARCHED: usize = 6;
    /// Delay past the expected start after which a reservation is cancelled; the job may get another one elsewhere.
    const MAX_LATE_MS: u64 = 60_000;

    pub(crate) fn cancel_reservation_of(&mut self, job: JobKey) {
        if let Some(index) = self.reservations.iter().position(|reservation| reservation.job == job) {
            self.cancel_reservation(index);
        }
    }

    pub(crate) fn cancel_reservations(&mut self, workers: &[WorkerKey]) {
        for index in (0..self.reservations.len()).rev() {
            let of = &self.reservations[index].workers;
            if of.iter().any(|(worker, _)| workers.contains(worker)) {
                self.cancel_reservation(index);
            }
        }
    }

    fn cancel_reservation(&mut self, index: usize) {
        let reservation = self.reservations.swap_remove(index);
        for (worker, parts) in reservation.workers {
            let amount = reservation.need.times(parts);
            self.cluster.change(worker, |worker| worker.reserved -= amount);
        }
        self.dirty = true;
    }

    /// Starts the jobs whose reserved capacity is free, or would be once backfilled work is preempted.
    pub(crate) fn use_reservations(&mut self, now_ms: u64, out: &mut Vec<Decision>) {
        for index in (0..self.reservations.len()).rev() {
            let Reservation {
                job,
                need,
                expected_ms,
                ref workers,
                ..
            } = self.reservations[index];
            let dc = self.cluster.workers[workers[0].0].dc;
            let borrows = self.borrows(now_ms, job);
            let (mut ready, mut ready_after_eviction) = (true, true);
            for &(key, parts) in workers {
                let worker = &self.cluster.workers[key];
                let limit = if borrows {
                    worker.capacity
                } else {
                    worker.capacity - worker.guaranteed - worker.non_evictable
                };
                ready &= worker.free.min(limit).fits(need.times(parts));
                let after = self.capacity_after_eviction(key, worker.free, Job::is_backfill);
                ready_after_eviction &= after.min(limit).fits(need.times(parts));
            }
            let allowed = self.cluster.dcs[dc].allows_start(now_ms, self.jobs[job].shape.parts);
            if ready_after_eviction && allowed {
                let found = workers.clone();
                if ready {
                    let placement_kind = self.placement_kind_of(now_ms, job);
                    self.allocate(job, &found, None, placement_kind);
                    out.push(self.start(now_ms, job));
                } else {
                    self.preempt_and_allocate(now_ms, job, &found, None, Job::is_backfill, out);
                }
            } else if now_ms > expected_ms + Self::MAX_LATE_MS {
                self.cancel_reservation(index);
            }
        }
    }

    /// Returns the wait after which a wide job is served out of turn: `runs` typical run times, within bounds.
    ///
    /// Capacity that wide jobs wait for becomes free at the rate at which other jobs finish.
    fn wait_threshold_ms(&self, runs: f64) -> u64 {
        ((self.typical_run_ms * runs) as u64).clamp(5_000, 1_800_000)
    }

    /// Preempts other work for one of the wide jobs that have waited longest, and reserves capacity for others.
    pub(crate) fn place_waiting_wide_jobs(&mut self, now_ms: u64, out: &mut Vec<Decision>) {
        if now_ms < self.next_scan_ms {
            return;
        }
        self.next_scan_ms = now_ms + Self::SCAN_INTERVAL_MS;
        let mut waiting: Vec<(u64, JobKey)> = Vec::new();
        for org in self.orgs.iter().filter(|org| org.queued[Class::Deferred as usize] > 0) {
            let heads = org.heads(Class::Deferred).map(|(_, _, key)| (key, &self.jobs[key]));
            let wide = heads.filter(|(_, job)| {
                (job.shape.parts > 1 || job.shape.accelerators_per_part > 1)
                    && now_ms >= job.submitted_ms + self.wait_threshold_ms(Self::RUNS_BEFORE_PREEMPTION)
                    && org.allows(job.shape.accelerators() as i32)
            });
            waiting.extend(wide.map(|(key, job)| (job.submitted_ms, key)));
        }
        waiting.sort_unstable();
        let mut has_preempted = false;
        for (_, job) in waiting.into_iter().take(Self::MAX_WIDE_JOBS_TRIED) {
            if !has_preempted && self.preempt_for_wide_job(now_ms, job, out) {
                has_preempted = true;
                continue;
            }
            let organisation = self.jobs[job].organisation;
            let mut reserved = self.reservations.iter();
            if now_ms >= self.jobs[job].submitted_ms + self.wait_threshold_ms(Self::RUNS_BEFORE_RESERVATION)
                && self.reservations.len() < Self::MAX_RESERVATIONS
                && !reserved.any(|reservation| self.jobs[reservation.job].organisation == organisation)
                && let Some(reservation) = self.find_reservation(now_ms, job)
            {
                let need = reservation.need;
                for &(worker, parts) in &reservation.workers {
                    self.cluster
                        .change(worker, |worker| worker.reserved += need.times(parts));
                }
                self.reservations.push(reservation);
            }
        }
    }

    /// Finds the workers on which the job is expected to start earliest.
    fn find_reservation(&self, now_ms: u64, key: JobKey) -> Option<Reservation> {
        let job = &self.jobs[key];
        // A job that must fit on one worker waits for one worker; the unit is then the whole job.
        let (unit, units) = match job.shape.adjacency {
            Adjacency::Worker => (job.total_need(), 1),
            _ => (job.need(), job.shape.parts),
        };
        let size = unit.accelerators as usize;
        let view = self.view_of(now_ms, key);
        let mut best: Option<(u64, Arrangement<WorkerKey>)> = None;
        for dc in self.cluster.dcs.iter().filter(|dc| dc.in_service) {
            let racks = dc.indexes[view as usize].largest_racks(size, Self::MAX_RACKS_SEARCHED);
            let groups: Vec<Vec<u32>> = match job.shape.adjacency {
                Adjacency::DataCentre => vec![racks.collect()],
                _ => racks.map(|rack| vec![rack]).collect(),
            };
            for group in groups {
                let found = self.earliest_start(
                    now_ms,
                    key,
                    PlacementRequest {
                        need: unit,
                        shape: job.shape,
                    },
                    units,
                    &group,
                );
                if let Some((start_ms, workers)) = found
                    && best
                        .as_ref()
                        .is_none_or(|(earliest_start, _)| start_ms < *earliest_start)
                {
                    best = Some((start_ms, workers));
                }
            }
        }
        let per_worker = job.shape.parts / units;
        best.map(|(expected_ms, workers)| Reservation {
            job: key,
            workers: workers
                .into_iter()
                .map(|(worker, n)| (worker, n * per_worker))
                .collect(),
            need: job.need(),
            expected_ms,
        })
    }

    fn earliest_start(
        &self,
        now_ms: u64,
        key: JobKey,
        request: PlacementRequest,
        units: u16,
        racks: &[u32],
    ) -> Option<(u64, Arrangement<WorkerKey>)> {
        let job = &self.jobs[key];
        let mut times: Vec<(u64, WorkerKey)> = Vec::new();
        for &worker in racks.iter().flat_map(|&rack| &self.cluster.racks[rack as usize]) {
            let state = &self.cluster.workers[worker];
            let reserved = state.reserved != crate::amount::Amount::default();
            if !state.is_usable() || reserved || job.failed_on.contains(&worker) {
                continue;
            }
            let limit = if self.borrows(now_ms, key) {
                state.capacity
            } else {
                state.capacity - state.guaranteed - state.non_evictable
            };
            let mut ends: SmallVec<[(u64, JobKey); 24]> = state
                .jobs
                .iter()
                .map(|&job| (self.expected_end_ms(now_ms, job), job))
                .collect();
            ends.sort_unstable();
            let mut free = state.free;
            let mut limit = limit;
            let mut given = 0;
            let mut start_ms = now_ms;
            let mut ends = ends.into_iter();
            loop {
                let count = free.min(limit).count_of(request.need).min(units);
                times.extend((given..count).map(|_| (start_ms, worker)));
                given = given.max(count);
                let Some((end, other)) = ends.next().filter(|_| given < units) else {
                    break;
                };
                let other = &self.jobs[other];
                free += other.need();
                if !other.is_evictable() {
                    limit += other.need();
                }
                limit = limit.min(state.capacity);
                start_ms = end;
            }
        }
        if times.len() < usize::from(units) {
            return None;
        }
        times.sort_unstable();
        times.truncate(units.into());
        let start_ms = times[times.len() - 1].0;
        let mut workers: Arrangement<WorkerKey> = SmallVec::new();
        for (_, worker) in times {
            match workers.iter_mut().find(|entry| entry.0 == worker) {
                Some(entry) => entry.1 += 1,
                None => workers.push((worker, 1)),
            }
        }
        Some((start_ms, workers))
    }

    /// Returns when a running job is expected to end; an overdue job is expected to take half its elapsed time more.
    fn expected_end_ms(&self, now_ms: u64, key: JobKey) -> u64 {
        let job = &self.jobs[key];
        if job.state == State::Stopping {
            return now_ms;
        }
        let end = job.started_ms + self.expected_run_ms(key);
        if end > now_ms {
            end
        } else {
            now_ms + (now_ms - job.started_ms) / 2 + 1
        }
    }

    /// Returns the remaining declared run time, corrected by the run times of the organisation's earlier jobs.
    pub(crate) fn expected_run_ms(&self, key: JobKey) -> u64 {
        let job = &self.jobs[key];
        let remaining = job.declared_ms.saturating_sub(job.preserved_ms);
        self.orgs[usize::from(job.organisation)]
            .correction
            .expected_run_ms(remaining)
    }
}
