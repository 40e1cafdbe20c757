use policy::{Event, Policy};

use super::{JobOutcome, Simulation, SimulationEvent, State};
use crate::{JobKind, Metrics};

impl<P: Policy> Simulation<'_, P> {
    pub(super) fn on_finish(&mut self, job: u32, attempt: u32) {
        if !self.is_current(job, attempt, &[State::Running, State::Stopping]) {
            return;
        }
        let record = &self.records[job as usize];
        let run_ms = record.preserved_ms + self.now_ms - record.started_ms;
        let key = record.key;
        self.free_attempt(job);
        if let Some(key) = key {
            self.observe(Event::Finished { job: key, run_ms });
        }
        self.end_job(job, JobOutcome::Finished);
    }

    pub(super) fn on_fail(&mut self, job: u32, attempt: u32, worker: u32) {
        if !self.is_current(job, attempt, &[State::Running, State::Stopping]) {
            return;
        }
        let record = &self.records[job as usize];
        let (key, cancelled, on_grant) = (record.key, record.cancelled, record.grant);
        if let Some(slot) = on_grant {
            self.grants.close(slot);
        }
        self.free_attempt(job);
        let Some(key) = key else {
            self.retry_urgent(job, 20, JobOutcome::Failed);
            return;
        };
        if cancelled {
            self.observe(Event::Removed { job: key });
            self.end_job(job, JobOutcome::Cancelled);
            return;
        }
        let worker = self.worker_keys[worker as usize];
        self.observe(Event::Failed { job: key, worker });
        self.requeue(job);
    }

    pub(super) fn on_stopped(&mut self, job: u32, attempt: u32, preserved_ms: u64) {
        if !self.is_current(job, attempt, &[State::Stopping, State::Lost]) {
            return;
        }
        let arrival = self.arrival(job);
        let record = &mut self.records[job as usize];
        let preserved_ms = preserved_ms.min(arrival.run_ms);
        let progress_ms = if record.running_parts > 0 {
            record.preserved_ms + self.now_ms - record.started_ms
        } else {
            record.preserved_ms
        };
        record.preserved_ms = preserved_ms;
        let (cancelled, outcome_unknown, key) = (record.cancelled, record.outcome_unknown, record.key);
        if !cancelled {
            self.count_discarded(job, progress_ms.saturating_sub(preserved_ms));
        }
        self.free_attempt(job);
        let Some(key) = key else { return };
        if cancelled || outcome_unknown {
            self.observe(Event::Removed { job: key });
            self.end_job(
                job,
                if cancelled {
                    JobOutcome::Cancelled
                } else {
                    JobOutcome::Indeterminate
                },
            );
        } else {
            let stopped = Event::Stopped { job: key, preserved_ms };
            self.observe(stopped);
            self.requeue(job);
        }
    }

    pub(super) fn cancel(&mut self, job: u32) {
        let record = &mut self.records[job as usize];
        match (record.state, record.key) {
            (State::Queued, Some(key)) => {
                self.demand.remove(job);
                self.observe(Event::Removed { job: key });
                self.end_job(job, JobOutcome::Cancelled);
            }
            (State::Starting | State::Running, Some(_)) => {
                record.cancelled = true;
                record.state = State::Stopping;
                let (attempt, preserved_ms) = (record.attempt, record.preserved_ms);
                self.push(self.now_ms + 100, SimulationEvent::Stopped(job, attempt, preserved_ms));
            }
            (State::Stopping | State::Lost, _) => record.cancelled = true,
            _ => {}
        }
    }

    pub(super) fn on_worker_crash(&mut self, worker: u32) {
        self.fleet.alive[worker as usize] = false;
        self.push(self.now_ms + Self::DETECTION_MS, SimulationEvent::CrashDetected(worker));
        let is_active = |state| matches!(state, State::Starting | State::Running | State::Stopping);
        let jobs: Vec<u32> = (0..self.records.len() as u32)
            .filter(|job| {
                let record = &self.records[*job as usize];
                is_active(record.state) && record.workers.contains(&worker)
            })
            .collect();
        for job in jobs {
            let idempotent = self.arrival(job).spec.idempotent;
            if let Some(slot) = self.records[job as usize].grant {
                self.grants.close(slot);
                self.free_attempt(job);
                self.retry_urgent(job, Self::DETECTION_MS, JobOutcome::Indeterminate);
                continue;
            }
            if self.records[job as usize].running_parts > 0 {
                self.update_useful(job, false);
            }
            let record = &mut self.records[job as usize];
            record.outcome_unknown = record.running_parts > 0 && !idempotent;
            record.running_parts = 0;
            record.state = State::Lost;
            record.attempt += 1;
            let (attempt, preserved_ms) = (record.attempt, record.preserved_ms);
            self.push(
                self.now_ms + Self::LEASE_EXPIRY_MS,
                SimulationEvent::Stopped(job, attempt, preserved_ms),
            );
        }
    }

    /// Ends the attempt and frees its resources or its grant.
    pub(super) fn free_attempt(&mut self, job: u32) {
        if self.records[job as usize].running_parts > 0 {
            self.update_useful(job, false);
        }
        let part = self.arrival(job).spec.need_per_part();
        let record = &mut self.records[job as usize];
        record.running_parts = 0;
        record.attempt += 1;
        let workers = std::mem::take(&mut record.workers);
        if let Some(slot) = record.grant.take() {
            self.return_grant(slot);
        } else {
            self.fleet.release(&workers, part);
            self.demand.release(job);
        }
    }

    pub(super) fn requeue(&mut self, job: u32) {
        self.records[job as usize].state = State::Queued;
        self.demand.add(job);
    }

    /// Ends the job and records its completion time.
    ///
    /// Jobs that never fit, that fail or that are cancelled at some time are left out, so that each policy is measured
    /// on the same jobs. An urgent request that never started counts with its deadline.
    pub(super) fn end_job(&mut self, job: u32, outcome: JobOutcome) {
        let arrival = self.arrival(job);
        let record = &mut self.records[job as usize];
        record.state = State::Idle;
        if let Some(key) = record.key.take() {
            self.by_key.remove(key);
        }
        let (started, is_reclaim) = (record.first_start_ms.is_some(), record.is_reclaim);
        self.live -= 1;
        self.metrics.outcomes[outcome as usize] += 1;
        let age_ms = self.now_ms - arrival.at_ms;
        if arrival.kind == JobKind::Owner {
            self.demand.owner_ended(job);
        }
        if is_reclaim && !started {
            Metrics::record(&mut self.metrics.reclaim_ms, age_ms);
        }
        let missed = arrival.kind == JobKind::Urgent && !started;
        let age_ms = if missed {
            arrival.spec.deadline_ms.unwrap_or(age_ms)
        } else {
            age_ms
        };
        if missed {
            Metrics::record(&mut self.metrics.urgent_start_ms, age_ms);
        }
        let can_run = !arrival.never_fits && !arrival.always_fails && arrival.cancel_at_ms.is_none();
        if can_run && (outcome == JobOutcome::Finished || missed) {
            Metrics::record(&mut self.metrics.completion_ms[arrival.kind as usize], age_ms);
        }
    }

    /// Counts jobs that have not ended as lost and records their age as completion time.
    pub(super) fn close(&mut self) {
        for job in 0..self.records.len() as u32 {
            if self.records[job as usize].state == State::Idle {
                continue;
            }
            self.metrics.violations.lost_jobs += 1;
            let arrival = self.arrival(job);
            let age_ms = self.now_ms - arrival.at_ms;
            if arrival.cancel_at_ms.is_none() && !arrival.always_fails {
                Metrics::record(&mut self.metrics.completion_ms[arrival.kind as usize], age_ms);
            }
        }
        // Recording a value with count 0 would still raise the maximum of the histogram.
        let unmet = self.metrics.reclaims - self.metrics.reclaim_ms.len();
        if unmet > 0 {
            self.metrics.reclaim_ms.saturating_record_n(self.now_ms.max(1), unmet);
        }
    }
}
