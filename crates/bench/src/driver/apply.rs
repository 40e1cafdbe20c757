use model::Adjacency;
use policy::{Decision, Event, JobKey, Policy, Preemption, WorkerKey};
use smallvec::SmallVec;

use super::{Driver, Due, End, State};
use crate::{JobKind, Metrics};

impl<P: Policy> Driver<'_, P> {
    /// Longest time that a checkpoint may take before the task is stopped.
    const GRACE_MS: u64 = 2_000;

    /// Carries a decision out.
    pub(super) fn apply(&mut self, decision: Decision) {
        self.metrics.decisions += 1;
        match decision {
            Decision::Start { job, workers } => self.start(job, &workers),
            Decision::Preempt { job, mode } => {
                if let Some(job) = self.by_key.get(job).copied() {
                    self.preempt(job, mode);
                }
            }
            Decision::Refuse { job, .. } => self.give_up(job, End::Refused),
            Decision::Fail { job, .. } => self.give_up(job, End::Failed),
            Decision::GuaranteeLost { .. } => self.metrics.lost_guarantees += 1,
        }
    }

    fn give_up(&mut self, key: JobKey, end: End) {
        let queued = |job: &u32| self.records[*job as usize].state == State::Queued;
        let Some(job) = self.by_key.get(key).copied().filter(queued) else {
            self.metrics.violations.not_waiting += 1;
            return;
        };
        self.waiting.remove(job);
        self.end(job, end);
    }

    fn start(&mut self, key: JobKey, workers: &[WorkerKey]) {
        let queued = |job: &u32| self.records[*job as usize].state == State::Queued;
        let Some(job) = self.by_key.get(key).copied().filter(queued) else {
            self.metrics.violations.not_waiting += 1;
            return;
        };
        let spec = &self.arrival(job).spec;
        let workers: SmallVec<[u32; 4]> = workers.iter().map(|key| self.worker_index[*key]).collect();
        self.waiting.remove(job);
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
        self.waiting.hold(job);
        if !fleet.hold(&workers, spec.need_per_part()) {
            violations.overcommitted += 1;
            self.push(self.now_ms + 10, Due::NotStarted(job, attempt, None));
            return;
        }
        let silent = workers.iter().copied().find(|worker| !fleet.alive[*worker as usize]);
        record.workers = workers;
        let (delay_ms, due) = if let Some(worker) = silent {
            (Self::NOTICE_MS, Due::NotStarted(job, attempt, Some(worker)))
        } else if self.chance(job, 1).is_multiple_of(1_000) {
            (10, Due::NotStarted(job, attempt, None))
        } else {
            (3 + self.chance(job, 2) % 6, Due::Started(job, attempt))
        };
        self.push(self.now_ms + delay_ms, due);
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
        record.doomed = failing.is_some();
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
        self.count_useful(job, true);
        if let Some(worker) = failing {
            let after_ms = 200 + self.chance(job, 3) % 1_800;
            self.push(self.now_ms + after_ms.min(left_ms), Due::Fail(job, attempt, worker));
        } else {
            self.push(self.now_ms + left_ms, Due::Finish(job, attempt));
        }
    }

    /// Adds or removes the job's accelerators from those that do useful work; grants are counted on their own.
    pub(super) fn count_useful(&mut self, job: u32, starts: bool) {
        let record = &self.records[job as usize];
        let accelerators = u32::from(self.arrival(job).spec.shape.accelerators_per_part);
        self.waiting.running_tasks = if starts {
            self.waiting.running_tasks + record.workers.len() as u32
        } else {
            self.waiting.running_tasks - record.workers.len() as u32
        };
        if record.doomed || record.grant.is_some() {
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
        // A checkpoint fails now and then; only work that may run again is exposed to that.
        let fails = spec.idempotent && self.chance(job, 4).is_multiple_of(50);
        let delay_ms = match (takes_checkpoint, fails) {
            (true, true) => Self::GRACE_MS,
            (true, false) => 200 + self.chance(job, 5) % (Self::GRACE_MS - 200),
            (false, _) => 50 + self.chance(job, 5) % 100,
        };
        let preserved_ms = if takes_checkpoint && !fails {
            record.preserved_ms + (self.now_ms + delay_ms - record.started_ms)
        } else {
            record.preserved_ms
        };
        // The end of the run stays due: the task may finish before it is stopped.
        self.records[job as usize].state = State::Stopping;
        self.push(self.now_ms + delay_ms, Due::Stopped(job, attempt, preserved_ms));
    }
}
