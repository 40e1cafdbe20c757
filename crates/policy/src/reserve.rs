use model::{Adjacency, Class};
use smallvec::SmallVec;

use crate::arrange::Arrangement;
use crate::cluster::Want;
use crate::job::{Job, State};
use crate::reservation::Reservation;
use crate::{Decision, GuaranteedShare, JobKey, WorkerKey};

impl GuaranteedShare {
    /// Wait in typical run times after which other work is moved away for a wide job. Shorter waits pass by themselves.
    const RUNS_BEFORE_MOVES: f64 = 2.0;
    /// Wait in typical run times after which a wide job gets a reservation. Capacity idles under a reservation, so it
    /// comes after moves, for jobs that moves cannot help.
    const RUNS_BEFORE_RESERVATION: f64 = 24.0;
    /// Interval at which waiting jobs are looked through.
    pub(crate) const SCAN_INTERVAL_MS: u64 = 500;
    /// Bound on reservations, which keeps the capacity that waits for wide jobs small.
    const MAX_RESERVATIONS: usize = 1;
    /// Waiting wide jobs that are looked at in one turn, oldest first.
    const WIDE_JOBS_TRIED: usize = 16;
    /// Racks that are searched for the earliest start.
    const RACKS_SEARCHED: usize = 6;
    /// A reservation that is this late is given up and made anew, perhaps elsewhere.
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

    /// Starts the jobs whose reservation is free, apart from backfilled work that leaves now.
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
            let preemptible = self.borrows(now_ms, job);
            let (mut ready, mut nearly) = (true, true);
            for &(key, parts) in workers {
                let worker = &self.cluster.workers[key];
                let limit = if preemptible {
                    worker.capacity
                } else {
                    worker.capacity - worker.guaranteed - worker.hard
                };
                ready &= worker.free.min(limit).fits(need.times(parts));
                let after = self.room_after_eviction(key, worker.free, Job::is_backfill);
                nearly &= after.min(limit).fits(need.times(parts));
            }
            let allowed = self.cluster.dcs[dc].allows_start(now_ms, self.jobs[job].shape.parts);
            if nearly && allowed {
                let found = workers.clone();
                if ready {
                    let standing = self.standing_of(now_ms, job);
                    self.hold(job, &found, None, standing);
                    out.push(self.start(now_ms, job));
                } else {
                    self.claim(now_ms, job, &found, None, Job::is_backfill, out);
                }
            } else if now_ms > expected_ms + Self::MAX_LATE_MS {
                self.cancel_reservation(index);
            }
        }
    }

    /// Returns how long a wide job waits before it is helped, as a multiple of the run time of other jobs.
    ///
    /// Capacity that wide jobs wait for becomes free at the pace at which other jobs end.
    fn patience_ms(&self, runs: f64) -> u64 {
        ((self.typical_run_ms * runs) as u64).clamp(5_000, 1_800_000)
    }

    /// Helps the wide jobs that have waited longest: makes room for one, or reserves capacity as it becomes free.
    pub(crate) fn help_wide_jobs(&mut self, now_ms: u64, out: &mut Vec<Decision>) {
        if now_ms < self.next_scan_ms {
            return;
        }
        self.next_scan_ms = now_ms + Self::SCAN_INTERVAL_MS;
        let mut waiting: Vec<(u64, JobKey)> = Vec::new();
        for org in self.orgs.iter().filter(|org| org.queued[Class::Deferred as usize] > 0) {
            let heads = org.heads(Class::Deferred).map(|(_, _, key)| (key, &self.jobs[key]));
            let wide = heads.filter(|(_, job)| {
                (job.shape.parts > 1 || job.shape.accelerators_per_part > 1)
                    && now_ms >= job.submitted_ms + self.patience_ms(Self::RUNS_BEFORE_MOVES)
                    && org.allows(job.shape.accelerators() as i32)
            });
            waiting.extend(wide.map(|(key, job)| (job.submitted_ms, key)));
        }
        waiting.sort_unstable();
        let mut made = false;
        for (_, job) in waiting.into_iter().take(Self::WIDE_JOBS_TRIED) {
            if !made && self.make_room(now_ms, job, out) {
                made = true;
                continue;
            }
            let organisation = self.jobs[job].organisation;
            let mut reserved = self.reservations.iter();
            if now_ms >= self.jobs[job].submitted_ms + self.patience_ms(Self::RUNS_BEFORE_RESERVATION)
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

    /// Finds the workers on which the job is expected to start first.
    fn find_reservation(&self, now_ms: u64, key: JobKey) -> Option<Reservation> {
        let job = &self.jobs[key];
        // A job that fits one worker waits for one; the unit is then the whole job.
        let (unit, units) = match job.shape.adjacency {
            Adjacency::Worker => (job.total_need(), 1),
            _ => (job.need(), job.shape.parts),
        };
        let size = unit.accelerators as usize;
        let view = self.view_of(now_ms, key);
        let mut best: Option<(u64, Arrangement<WorkerKey>)> = None;
        for dc in self.cluster.dcs.iter().filter(|dc| dc.in_service) {
            let racks = dc.indexes[view as usize].roomiest_racks(size, Self::RACKS_SEARCHED);
            let groups: Vec<Vec<u32>> = match job.shape.adjacency {
                Adjacency::DataCentre => vec![racks.collect()],
                _ => racks.map(|rack| vec![rack]).collect(),
            };
            for group in groups {
                let found = self.earliest(
                    now_ms,
                    key,
                    Want {
                        need: unit,
                        shape: job.shape,
                    },
                    units,
                    &group,
                );
                if let Some((at, workers)) = found
                    && best.as_ref().is_none_or(|(earliest, _)| at < *earliest)
                {
                    best = Some((at, workers));
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

    fn earliest(
        &self,
        now_ms: u64,
        key: JobKey,
        want: Want,
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
                state.capacity - state.guaranteed - state.hard
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
            let mut at = now_ms;
            let mut ends = ends.into_iter();
            loop {
                let count = free.min(limit).count_of(want.need).min(units);
                times.extend((given..count).map(|_| (at, worker)));
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
                at = end;
            }
        }
        if times.len() < usize::from(units) {
            return None;
        }
        times.sort_unstable();
        times.truncate(units.into());
        let at = times[times.len() - 1].0;
        let mut workers: Arrangement<WorkerKey> = SmallVec::new();
        for (_, worker) in times {
            match workers.iter_mut().find(|entry| entry.0 == worker) {
                Some(entry) => entry.1 += 1,
                None => workers.push((worker, 1)),
            }
        }
        Some((at, workers))
    }

    /// Returns when a running job is expected to end; one that is overdue is given half its run time again.
    fn expected_end_ms(&self, now_ms: u64, key: JobKey) -> u64 {
        let job = &self.jobs[key];
        if job.state == State::Stopping {
            return now_ms;
        }
        let end = job.started_ms + self.corrected_ms(key);
        if end > now_ms {
            end
        } else {
            now_ms + (now_ms - job.started_ms) / 2 + 1
        }
    }

    /// Returns the expected run time of a job from its organisation's experience.
    pub(crate) fn corrected_ms(&self, key: JobKey) -> u64 {
        let job = &self.jobs[key];
        let remaining = job.declared_ms.saturating_sub(job.preserved_ms);
        self.orgs[usize::from(job.organisation)]
            .correction
            .corrected_ms(remaining)
    }
}
