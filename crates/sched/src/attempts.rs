use std::collections::BTreeSet;

use model::{
    Attempt, AttemptState, JobState, LeaseId, LeaseKind, LeaseRequest, PartPlacement, Placement, Resources,
    StartRequest, TaskId,
};
use policy::{Decision, Event as Observed, FailReason, JobKey, Policy, Preemption, WorkerKey};
use trace::{Event, EventKind};

use crate::Action;
use crate::job::{Key, Phase, may_have_started};
use crate::run::{EndCause, LeaseState, PartState, Run};
use crate::scheduler::{Mode, Scheduler, Timer};
use crate::worker_state::Health;

impl<P: Policy> Scheduler<P> {
    /// Executes a decision of the policy.
    pub(crate) fn apply_decision(&mut self, decision: Decision, actions: &mut Vec<Action>) {
        let key_of = |job: JobKey| self.by_policy.get(job).copied();
        match decision {
            Decision::Start { job, workers } => match key_of(job) {
                Some(key) => self.record_attempt(key, &workers, actions),
                None => self.policy.observe(self.now_ms, Observed::Removed { job }),
            },
            Decision::Preempt { job, mode } => {
                if let Some(key) = key_of(job) {
                    self.preempt(key, mode, actions);
                }
            }
            Decision::Refuse { job, refusal } => {
                if let Some(key) = self.by_policy.remove(job) {
                    self.jobs[key].policy_key = None;
                    self.refuse(key, refusal, actions);
                }
            }
            Decision::Fail { job, reason } => {
                if let Some(key) = self.by_policy.remove(job) {
                    self.jobs[key].policy_key = None;
                    let message = match reason {
                        FailReason::FailedEverywhere => "failed on the bounded number of workers",
                        FailReason::NotIdempotent => "failed, and may not run again",
                    };
                    let last = self.jobs[key].row.failure.take();
                    let message = last.map_or(message.to_owned(), |last| format!("{message}: {last}"));
                    self.finalize(key, JobState::Failed, model::Outcome::Failed { message }, actions);
                }
            }
            Decision::GuaranteeLost { organisation, .. } => {
                let event = Event::new(EventKind::GuaranteeLost).cause(organisation.as_str());
                self.event(event, actions);
            }
        }
    }

    /// Writes the record of a new attempt. Nothing is sent to a worker before the record is durable or may be buffered.
    fn record_attempt(&mut self, key: Key, workers: &[WorkerKey], actions: &mut Vec<Action>) {
        let now_unix_ms = self.now_unix_ms;
        let may_record = self.is_store_up || self.jobs[key].row.spec.idempotent;
        let has_buffer_capacity = self.writes.buffered.len() < self.settings.max_buffered_jobs;
        if self.mode != Mode::Active || !self.is_in_service || !may_record || !has_buffer_capacity {
            self.remove_from_policy(key, |job| Observed::Removed { job });
            self.set_phase(key, Phase::Parked);
            return;
        }
        if !self.jobs[key].may_start() {
            self.remove_from_policy(key, |job| Observed::Removed { job });
            self.submit(key, actions);
            return;
        }
        let mut leases: Vec<(WorkerKey, LeaseId)> = Vec::new();
        let mut placement = Placement::default();
        for worker in workers {
            let known = leases
                .iter()
                .find(|(other, _)| other == worker)
                .map(|(_, lease)| *lease);
            let lease = known.unwrap_or_else(|| self.next_lease());
            leases.push((*worker, lease));
            placement.parts.push(PartPlacement {
                worker: self.policy.worker_id(*worker).clone(),
                lease,
            });
        }
        let index = |id: &model::WorkerId| self.worker_index[id];
        let job = &mut self.jobs[key];
        let number = job.last_attempt().max(job.reported_attempt) + 1;
        let run = Run::new(number, &placement, LeaseState::Planned, || PartState::Unsent, index);
        // Attempts that never started need no record; dropping them bounds the row.
        job.row.attempts.retain(may_have_started);
        job.row.attempts.push(Attempt {
            number,
            epoch: self.epoch,
            placement,
            state: AttemptState::Recorded,
            recorded_unix_ms: now_unix_ms,
        });
        job.row.state = JobState::Running;
        job.run = Some(run);
        self.set_phase(key, Phase::Recording);
        self.mark_dirty(key);
    }

    /// Returns a new lease id.
    pub(crate) fn next_lease(&mut self) -> LeaseId {
        self.lease_sequence += 1;
        LeaseId::new(self.epoch, self.lease_sequence)
    }

    /// Requests the leases of a recorded attempt.
    pub(crate) fn reserve(&mut self, key: Key, actions: &mut Vec<Action>) {
        let op = self.next_op();
        let live_until_ms = self.now_ms + self.settings.worker_timeout_ms + self.settings.reserve_lease_ttl_ms;
        let Some(job) = self.jobs.get_mut(key) else { return };
        let need = job.row.spec.need_per_part();
        let Some(run) = &mut job.run else { return };
        let unresponsive = run
            .attempt_leases
            .iter()
            .find(|attempt_lease| self.workers[attempt_lease.worker].health != Health::Up);
        if let Some(attempt_lease) = unresponsive {
            let cause = EndCause::Refused(Some(attempt_lease.worker));
            self.end_run(key, cause, actions);
            return;
        }
        run.reserved_ms = self.now_ms;
        for attempt_lease in &mut run.attempt_leases {
            attempt_lease.state = LeaseState::Requested;
            attempt_lease.op = op;
            attempt_lease.live_until_ms = live_until_ms;
            let worker = &mut self.workers[attempt_lease.worker];
            worker.attempt_leases.insert(attempt_lease.lease, key);
            let mut resources = Resources::default();
            attempt_lease.parts.iter().for_each(|_| resources += need);
            actions.push(Action::Lease {
                worker: worker.id.clone(),
                request: LeaseRequest {
                    lease: attempt_lease.lease,
                    epoch: self.epoch,
                    holder: self.instance.clone(),
                    kind: LeaseKind::Attempt,
                    resources,
                    ttl_ms: self.settings.reserve_lease_ttl_ms,
                },
            });
        }
        self.set_phase(key, Phase::Reserving);
        self.arm(self.now_ms + self.reserve_bound_ms(), Timer::Job(key));
    }

    /// Returns the age at which a reservation is abandoned, so that no start arrives under an expired lease.
    const fn reserve_bound_ms(&self) -> u64 {
        self.settings.reserve_lease_ttl_ms * 3 / 4
    }

    /// Starts all parts; all leases are granted.
    ///
    /// The leases are renewed first: with the short time to live of a reservation, tasks would stop before a successor
    /// can adopt them if the lease holder failed right after the start.
    fn start(&mut self, key: Key, actions: &mut Vec<Action>) {
        let op = self.next_op();
        self.set_phase(key, Phase::Starting);
        let attempt_leases = self
            .jobs
            .get(key)
            .and_then(|job| job.run.as_ref())
            .map(|run| &run.attempt_leases);
        let workers: BTreeSet<usize> = attempt_leases
            .into_iter()
            .flatten()
            .map(|attempt_lease| attempt_lease.worker)
            .collect();
        for ix in workers {
            self.renew(ix, actions);
        }
        let Some(job) = self.jobs.get_mut(key) else { return };
        let spec = &job.row.spec;
        let Some(run) = &mut job.run else { return };
        for attempt_lease in &mut run.attempt_leases {
            attempt_lease.op = op;
            for part in &attempt_lease.parts {
                let index = usize::from(*part);
                run.parts[index] = PartState::Sent;
                actions.push(Action::Start {
                    worker: self.workers[attempt_lease.worker].id.clone(),
                    request: Box::new(StartRequest {
                        lease: attempt_lease.lease,
                        epoch: self.epoch,
                        task: TaskId::new(job.id.clone(), run.number, *part),
                        resources: spec.need_per_part(),
                        payload: spec.payload.clone(),
                        resume_from: job.checkpoints.get(index).cloned(),
                        checkpointable: spec.checkpointable,
                    }),
                });
            }
        }
    }

    /// Preempts a job in favour of another, after a checkpoint if the mode asks for it and the job supports it.
    fn preempt(&mut self, key: Key, mode: Preemption, actions: &mut Vec<Action>) {
        let grace_until_ms = self.now_ms + self.settings.checkpoint_grace_ms;
        let Some(job) = self.jobs.get_mut(key) else { return };
        let event = Event::new(EventKind::JobPreempted)
            .job(job.id.clone())
            .attempt(job.last_attempt());
        let takes_checkpoint = mode == Preemption::Checkpoint && job.row.spec.checkpointable;
        if let Some(run) = job.run.as_mut().filter(|run| run.cause.is_none())
            && takes_checkpoint
            && matches!(job.phase, Phase::Starting | Phase::Running | Phase::Adopting)
        {
            run.grace_until_ms = Some(grace_until_ms);
            self.request_checkpoints(key, actions);
        }
        self.event(event, actions);
        self.end_run(key, EndCause::Preempted, actions);
    }

    /// Requests a checkpoint of each part that still runs, and repeats the request during the grace period.
    ///
    /// A repeated request takes no second checkpoint; a lost one must not end work that cannot run again.
    fn request_checkpoints(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(key) else { return };
        let Some(run) = &job.run else { return };
        for attempt_lease in &run.attempt_leases {
            for part in attempt_lease
                .parts
                .iter()
                .filter(|part| !run.parts[usize::from(**part)].is_settled())
            {
                actions.push(Action::Checkpoint {
                    worker: self.workers[attempt_lease.worker].id.clone(),
                    task: TaskId::new(job.id.clone(), run.number, *part),
                });
            }
        }
        self.arm(self.now_ms + self.settings.checkpoint_grace_ms / 4, Timer::Job(key));
    }

    /// Begins to end the attempt of a job. A later cause replaces a preemption; `Superseded` replaces any cause.
    pub(crate) fn end_run(&mut self, key: Key, cause: EndCause, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(run) = &mut job.run else { return };
        if run.cause.is_none() || run.cause == Some(EndCause::Preempted) || cause == EndCause::Superseded {
            run.cause = Some(cause);
        }
        if cause != EndCause::Preempted {
            run.grace_until_ms = None;
        }
        self.advance(key, actions);
    }

    /// Advances an attempt as far as the known state of its leases and parts allows.
    pub(crate) fn advance(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let (phase, id) = (job.phase, job.id.clone());
        let Some(run) = &mut job.run else { return };
        if run.cause.is_none() {
            if run.has_only_checkpoints() && job.row.spec.checkpointable {
                // A former lease holder was ending the attempt; the checkpoints count only if every part has one.
                run.cause = Some(EndCause::Preempted);
                run.grace_until_ms = Some(self.now_ms + self.settings.checkpoint_grace_ms);
                self.request_checkpoints(key, actions);
                return;
            } else if run.has_ended_part() {
                run.cause = Some(EndCause::PartEnded);
            } else if run.is_finished() {
                run.cause = Some(EndCause::Complete);
            }
        } else if run.grace_until_ms.is_some() && run.parts.iter().all(PartState::is_settled) {
            run.grace_until_ms = None;
        }
        if run.cause.is_some() {
            if run.grace_until_ms.is_none() {
                self.revoke_attempt_leases(key, actions);
            }
            return;
        }
        match phase {
            Phase::Reserving if run.all_leases_in(&[LeaseState::Granted]) => self.start(key, actions),
            Phase::Starting | Phase::Adopting if run.all_leases_in(&[LeaseState::Granted]) && run.is_running() => {
                if phase == Phase::Starting {
                    run.started_ms = self.now_ms;
                }
                let number = run.number;
                if let Some(policy_key) = job.policy_key
                    && phase == Phase::Starting
                {
                    self.policy.observe(self.now_ms, Observed::Started { job: policy_key });
                }
                self.set_phase(key, Phase::Running);
                self.adopt_in_policy(key);
                self.event(Event::new(EventKind::JobStarted).job(id).attempt(number), actions);
            }
            _ => {}
        }
    }

    /// Handles the expired timer of a job: the next checkpoint request or the age limit of a reservation.
    pub(crate) fn job_due(&mut self, key: Key, actions: &mut Vec<Action>) {
        let reserve_bound_ms = self.reserve_bound_ms();
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(run) = &mut job.run else { return };
        if let Some(until_ms) = run.grace_until_ms {
            if until_ms > self.now_ms {
                self.request_checkpoints(key, actions);
            } else {
                run.grace_until_ms = None;
                self.advance(key, actions);
            }
        } else if job.phase == Phase::Reserving && run.reserved_ms + reserve_bound_ms <= self.now_ms {
            let pending = run
                .attempt_leases
                .iter()
                .find(|attempt_lease| attempt_lease.state == LeaseState::Requested);
            let cause = EndCause::Refused(pending.map(|attempt_lease| attempt_lease.worker));
            self.end_run(key, cause, actions);
        }
    }
}
