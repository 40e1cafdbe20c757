use model::Adjacency;
use policy::{Decision, Event, JobKey, Policy, Preemption, WorkerKey};
use smallvec::SmallVec;

use super::{JobOutcome, Simulation, SimulationEvent, State};
use crate::{JobKind, Metrics};

impl<P: Policy> Simulation<'_, P> {
    /// Time that a checkpoint may take before the task is stopped without it.
    const GRACE_MS: u64 = 2_000;

    /// Applies a decision of the policy.
    pub(super) fn apply(&mut self, decision: Decision) {
        self.metrics.decisions += 1;
        match decision {
            Decision::Start { job, workers } => self.start(job, &workers),
            Decision::Preempt { job, mode } => {
                if let Some(job) = self.by_key.get(job).copied() {
                    self.preempt(job, mode);
                }
            }
            Decision::Refuse { job, .. } => self.end_queued(job, JobOutcome::Refused),
            Decision::Fail { job, .. } => self.end_queued(job, JobOutcome::Failed),
            Decision::GuaranteeLost { .. } => self.metrics.lost_guarantees += 1,
        }
    }

    fn end_queued(&mut self, key: JobKey, outcome: JobOutcome) {
        let queued = |job: &u32| self.records[*job as usize].state == State::Queued;
        let Some(job) = self.by_key.get(key).copied().filter(queued) else {
            self.metrics.violations.not_waiting += 1;
            return;
        };
        self.demand.remove(job);
        self.end_job(job, outcome);
    }

    fn start(&mut self, key: JobKey, workers: &[WorkerKey]) {
        let queued = |job: &u32| self.records[*job as usize].state == State::Queued;
        let Some(job) = self.by_key.get(key).copied().filter(queued) else {
            self.metrics.violations.not_waiting += 1;
            return;
        };
        let spec = &self.arrival(job).spec;
        let workers: SmallVec<[u32; 4]> = workers.iter().map(|key| self.worker_index[*key]).collect();
        self.demand.remove(job);
        let violations = &mut self.metrics.violations;
        let (fleet, parts) = (&mut self.fleet, spec.shape.parts);
        let is_out = |worker: &u32| !fleet.in_service[fleet.data_centre_of[*worker as usize]];
        violations.started_while_out += u64::from(workers.iter().any(is_out));
        let is_down = |worker: &u32| fleet.known_down[*worker as usize];
        violations.started_on_down += u64::from(workers.iter().any(is_down));
        let adjacency = if parts == 1 {
            Adjacency::Worker
        } else {
            spec.shape.adjacency
        };
        violations.not_adjacent += u64::from(!fleet.layout.is_adjacent(adjacency, &workers));
        let record = &mut self.records[job as usize];
        record.attempt += 1;
        record.state = State::Starting;
        record.started_ms = self.now_ms;
        let attempt = record.attempt;
        self.demand.allocate(job);
        if !fleet.allocate(&workers, spec.need_per_part()) {
            violations.overcommitted += 1;
            self.push(self.now_ms + 10, SimulationEvent::NotStarted(job, attempt, None));
            return;
        }
        let unresponsive = workers.iter().copied().find(|worker| !fleet.alive[*worker as usize]);
        record.workers = workers;
        let (delay_ms, event) = if let Some(worker) = unresponsive {
            (
                Self::DETECTION_MS,
                SimulationEvent::NotStarted(job, attempt, Some(worker)),
            )
        } else if self.random_for(job, 1).is_multiple_of(1_000) {
            (10, SimulationEvent::NotStarted(job, attempt, None))
        } else {
            (3 + self.random_for(job, 2) % 6, SimulationEvent::Started(job, attempt))
        };
        self.push(self.now_ms + delay_ms, event);
    }

    pub(super) fn on_not_started(&mut self, job: u32, attempt: u32, worker: Option<u32>) {
        if !self.is_current(job, attempt, &[State::Starting]) {
            return;
        }
        self.free_attempt(job);
        let Some(key) = self.records[job as usize].key else {
            return;
        };
        let worker = worker.map(|worker| self.worker_keys[worker as usize]);
        self.observe(Event::NotStarted { job: key, worker });
        self.requeue(job);
    }

    pub(super) fn on_started(&mut self, job: u32, attempt: u32) {
        if !self.is_current(job, attempt, &[State::Starting]) {
            return;
        }
        let arrival = self.arrival(job);
        let record = &mut self.records[job as usize];
        record.state = State::Running;
        record.started_ms = self.now_ms;
        record.running_parts = record.workers.len();
        if record.running_parts != usize::from(arrival.spec.shape.parts) {
            self.metrics.violations.partial_gangs += 1;
        }
        let broken = record
            .workers
            .iter()
            .copied()
            .find(|worker| self.fleet.broken[*worker as usize]);
        let failing = broken.or_else(|| arrival.always_fails.then(|| record.workers.first().copied()).flatten());
        record.will_fail = failing.is_some();
        let first = record
            .first_start_ms
            .replace(record.first_start_ms.unwrap_or(self.now_ms))
            .is_none();
        let left_ms = arrival.run_ms.saturating_sub(record.preserved_ms);
        let is_reclaim = record.is_reclaim;
        let wait_ms = self.now_ms - arrival.at_ms;
        if first && arrival.kind == JobKind::Urgent {
            Metrics::record(&mut self.metrics.urgent_start_ms, wait_ms);
        }
        if first && is_reclaim {
            Metrics::record(&mut self.metrics.reclaim_ms, wait_ms);
            self.metrics.reclaims_in_bound += u64::from(wait_ms <= Metrics::RECLAIM_BOUND_MS);
        }
        if let Some(key) = self.records[job as usize].key {
            self.observe(Event::Started { job: key });
        }
        self.update_useful(job, true);
        if let Some(worker) = failing {
            let after_ms = 200 + self.random_for(job, 3) % 1_800;
            self.push(
                self.now_ms + after_ms.min(left_ms),
                SimulationEvent::Fail(job, attempt, worker),
            );
        } else {
            self.push(self.now_ms + left_ms, SimulationEvent::Finish(job, attempt));
        }
    }

    /// Updates the running tasks and the accelerators that do useful work when the job starts or ends.
    ///
    /// Attempts that will fail and work on grants count only as running tasks; grants are counted separately.
    pub(super) fn update_useful(&mut self, job: u32, starts: bool) {
        let record = &self.records[job as usize];
        let accelerators = u32::from(self.arrival(job).spec.shape.accelerators_per_part);
        self.demand.running_tasks = if starts {
            self.demand.running_tasks + record.workers.len() as u32
        } else {
            self.demand.running_tasks - record.workers.len() as u32
        };
        if record.will_fail || record.grant.is_some() {
            return;
        }
        for worker in &record.workers {
            let useful = &mut self.fleet.useful[self.fleet.data_centre_of[*worker as usize]];
            *useful = if starts {
                *useful + accelerators
            } else {
                *useful - accelerators
            };
        }
    }

    fn preempt(&mut self, job: u32, mode: Preemption) {
        let spec = &self.arrival(job).spec;
        let record = &self.records[job as usize];
        let (attempt, running) = (record.attempt, record.state == State::Running);
        if !running && record.state != State::Starting {
            return;
        }
        self.metrics.preemptions += 1;
        if !spec.is_preemptible() {
            self.metrics.violations.unsafe_preemptions += 1;
            return;
        }
        let takes_checkpoint = running && mode == Preemption::Checkpoint && spec.checkpointable;
        // One checkpoint in 50 fails, for idempotent jobs only, since they can run again.
        let fails = spec.idempotent && self.random_for(job, 4).is_multiple_of(50);
        let delay_ms = match (takes_checkpoint, fails) {
            (true, true) => Self::GRACE_MS,
            (true, false) => 200 + self.random_for(job, 5) % (Self::GRACE_MS - 200),
            (false, _) => 50 + self.random_for(job, 5) % 100,
        };
        let preserved_ms = if takes_checkpoint && !fails {
            record.preserved_ms + (self.now_ms + delay_ms - record.started_ms)
        } else {
            record.preserved_ms
        };
        // The finish or failure event stays queued: the task may end before it is stopped.
        self.records[job as usize].state = State::Stopping;
        self.push(
            self.now_ms + delay_ms,
            SimulationEvent::Stopped(job, attempt, preserved_ms),
        );
    }
}
