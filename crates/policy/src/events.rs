use crate::health::Health;
use crate::job::{Job, State};
use crate::worker::WorkerStatus;
use crate::{Decision, Event, FailReason, GuaranteedShare, JobKey, WorkerKey};

impl GuaranteedShare {
    pub(crate) fn apply_event(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Started { job } => self.on_started(job),
            Event::NotStarted { job, worker } => self.on_not_started(now_ms, job, worker),
            Event::Finished { job, run_ms } => self.on_finished(job, run_ms),
            Event::Failed { job, worker } => self.on_failed(now_ms, job, worker),
            Event::Stopped { job, preserved_ms } => self.on_stopped(job, preserved_ms),
            Event::Removed { job } => {
                self.forget(job);
                self.dirty = true;
            }
            Event::WorkerUp { worker } => {
                self.end_exclusion(worker);
                self.set_status(worker, WorkerStatus::Up);
            }
            Event::WorkerDown { worker } => self.set_status(worker, WorkerStatus::Down),
            Event::WorkerDraining { worker } => self.set_status(worker, WorkerStatus::Draining),
        }
    }

    /// Number of jobs over which the typical run time is averaged.
    const RUNS_AVERAGED: f64 = 256.0;

    fn on_started(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state == State::Starting {
            job.state = State::Running;
        }
        for part in &job.parts {
            self.cluster.workers[part.worker].refusals = 0;
        }
    }

    fn on_not_started(&mut self, now_ms: u64, key: JobKey, worker: Option<WorkerKey>) {
        if let Some(worker) = worker {
            self.exclude(now_ms, worker);
        }
        if self.jobs.get(key).is_some_and(Job::holds_resources) {
            self.release(key);
            self.enqueue(key);
        }
    }

    /// Excludes a worker that refused a start from new work, for twice as long after each further refusal.
    fn exclude(&mut self, now_ms: u64, key: WorkerKey) {
        const FIRST_MS: u64 = 250;
        const MAX_DOUBLINGS: u8 = 5;
        self.end_exclusion(key);
        let until = self.cluster.change(key, |worker| {
            worker.refusals = worker.refusals.saturating_add(1);
            let doublings = (worker.refusals - 1).min(MAX_DOUBLINGS);
            worker.excluded_until_ms = now_ms + (FIRST_MS << doublings);
            worker.excluded_until_ms
        });
        self.exclusions.insert((until, key));
    }

    pub(crate) fn end_exclusion(&mut self, key: WorkerKey) {
        let until = self.cluster.workers[key].excluded_until_ms;
        if until > 0 {
            self.exclusions.remove(&(until, key));
            self.cluster.change(key, |worker| worker.excluded_until_ms = 0);
            self.dirty = true;
        }
    }

    fn on_finished(&mut self, key: JobKey, run_ms: u64) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let organisation = job.organisation;
        let declared = job.declared_ms.saturating_sub(job.preserved_ms);
        if job.class == model::Class::Deferred {
            self.typical_run_ms += (run_ms as f64 - self.typical_run_ms) / Self::RUNS_AVERAGED;
        }
        self.orgs[usize::from(organisation)].correction.record(declared, run_ms);
        for part in job.parts.clone() {
            let health = &mut self.cluster.workers[part.worker].health;
            health.record(key, organisation, false);
            if health.probe == Some(key) {
                self.end_quarantine(part.worker);
            }
        }
        self.forget(key);
        self.dirty = true;
    }

    fn on_failed(&mut self, now_ms: u64, key: JobKey, worker: WorkerKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let organisation = job.organisation;
        if !job.failed_on.contains(&worker) {
            job.failed_on.push(worker);
        }
        if job.holds_resources() {
            self.release(key);
        } else {
            self.dequeue(key);
        }
        let job = &mut self.jobs[key];
        let allowed = Job::MAX_FAILED_WORKERS.min(self.cluster.order.len());
        let reason = if !job.idempotent {
            Some(FailReason::NotIdempotent)
        } else if job.failed_on.len() >= allowed {
            Some(FailReason::FailedEverywhere)
        } else {
            None
        };
        if let Some(reason) = reason {
            job.state = State::GivenUp;
            self.pending_decisions.push(Decision::Fail { job: key, reason });
        } else {
            self.enqueue(key);
        }
        let failing = &mut self.cluster.workers[worker];
        failing.health.record(key, organisation, true);
        if !failing.quarantined && failing.health.is_failing() {
            self.begin_quarantine(now_ms, worker);
        }
        self.dirty = true;
    }

    fn on_stopped(&mut self, key: JobKey, preserved_ms: u64) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.preserved_ms = job.preserved_ms.saturating_add(preserved_ms).min(job.declared_ms);
        if job.holds_resources() {
            self.release(key);
            self.enqueue(key);
        }
    }

    fn begin_quarantine(&mut self, now_ms: u64, key: WorkerKey) {
        self.cancel_reservations(&[key]);
        let due = now_ms + Health::PROBE_INTERVAL_MS;
        self.cluster.change(key, |worker| {
            worker.quarantined = true;
            worker.health.next_probe_ms = due;
            worker.health.quarantined_ms = now_ms;
        });
        self.probes.insert((due, key));
        let preemptors: Vec<JobKey> = self.cluster.workers[key].jobs.to_vec();
        for job in preemptors {
            if self.jobs[job].state == State::AwaitingPreemption {
                self.release_and_requeue(job);
            }
        }
        self.replan();
    }

    /// Lets a worker take work again but keeps its recorded failures, so that one more quarantines it again.
    pub(crate) fn begin_probation(&mut self, key: WorkerKey) {
        self.cluster.change(key, |worker| worker.quarantined = false);
        self.replan();
    }

    fn end_quarantine(&mut self, key: WorkerKey) {
        let due = self.cluster.workers[key].health.next_probe_ms;
        self.probes.remove(&(due, key));
        self.cluster.change(key, |worker| {
            worker.quarantined = false;
            worker.health.clear();
        });
        self.replan();
    }
}
