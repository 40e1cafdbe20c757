use model::{AttemptState, Charge, JobState, Outcome, TaskState};
use policy::{Event as Observed, JobKey, Policy};
use trace::{Event, EventKind};

use crate::Action;
use crate::job::{Job, Key, Phase};
use crate::run::{EndCause, LeaseState, PartState, Run};
use crate::scheduler::Scheduler;

impl<P: Policy> Scheduler<P> {
    /// Revokes the leases of an attempt that is being ended, and concludes it once no part of it can run.
    pub(crate) fn revoke_attempt_leases(&mut self, key: Key, actions: &mut Vec<Action>) {
        let op = self.next_op();
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(run) = &mut job.run else { return };
        let mut unsent = Vec::new();
        for attempt_lease in &mut run.attempt_leases {
            match attempt_lease.state {
                LeaseState::Planned => {
                    attempt_lease.state = LeaseState::Released;
                    unsent.push(attempt_lease.lease);
                }
                LeaseState::Requested | LeaseState::Granted => {
                    attempt_lease.state = LeaseState::Revoking;
                    attempt_lease.op = op;
                    actions.push(Action::Revoke {
                        worker: self.workers[attempt_lease.worker].id.clone(),
                        lease: attempt_lease.lease,
                    });
                }
                LeaseState::Inherited | LeaseState::Revoking | LeaseState::Expired | LeaseState::Released => {}
            }
        }
        for lease in unsent {
            run.settle_absent(lease, &[]);
        }
        let is_over = run.all_leases_in(&[LeaseState::Released, LeaseState::Expired]);
        if job.phase != Phase::Unknown {
            self.set_phase(key, Phase::Ending);
        }
        if is_over {
            self.conclude(key, actions);
        }
    }

    /// Derives the next state of the job from the ended attempt.
    fn conclude(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(run) = job.run.take() else { return };
        let is_superseded = run.cause == Some(EndCause::Superseded);
        let has_unresponsive_part = run
            .parts
            .iter()
            .any(|part| matches!(part, PartState::Unresponsive { .. }));
        if has_unresponsive_part && !is_superseded && !job.row.spec.idempotent && !cannot_finish(&run) {
            job.run = Some(run);
            self.mark_unknown(key, actions);
            return;
        }
        for attempt_lease in &run.attempt_leases {
            self.workers[attempt_lease.worker]
                .attempt_leases
                .remove(&attempt_lease.lease);
        }
        if is_superseded {
            self.replace_row(key, actions);
            return;
        }
        if run.is_finished() {
            self.conclude_finished(key, &run, actions);
        } else if job.row.cancel_requested {
            self.conclude_cancelled(key, &run, actions);
        } else if !run.has_started() {
            let worker = match run.cause {
                Some(EndCause::Refused(worker)) => worker.and_then(|ix| self.workers[ix].policy_key),
                _ => None,
            };
            let event = |job| Observed::NotStarted { job, worker };
            self.requeue(key, AttemptState::NotStarted, event, actions);
        } else if let Some(failed) = run
            .parts
            .iter()
            .position(|part| part.ended(TaskState::Failed).is_some())
        {
            self.conclude_failed(key, &run, failed, actions);
        } else {
            self.conclude_stopped(key, &run, actions);
        }
    }

    fn conclude_finished(&mut self, key: Key, run: &Run, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(answer) = run.answer(&job.row.spec.request_id) else {
            let verified = |part: &PartState| {
                let answer = part.finished().and_then(|report| report.answer.as_ref());
                answer.is_some_and(|answer| answer.verify(&job.row.spec.request_id).is_ok())
            };
            let damaged = run.parts.iter().position(|part| !verified(part)).unwrap_or(0);
            job.row.failure = Some("answer is not whole".to_owned());
            self.conclude_failed(key, run, damaged, actions);
            return;
        };
        job.set_attempt_state(AttemptState::Finished);
        self.charge(key, run);
        let run_ms = self.now_ms.saturating_sub(run.started_ms);
        self.remove_from_policy(key, |job| Observed::Finished { job, run_ms });
        self.finalize(key, JobState::Finished, Outcome::Ran { answer }, actions);
    }

    fn conclude_cancelled(&mut self, key: Key, run: &Run, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.set_attempt_state(if run.has_started() {
            AttemptState::Stopped
        } else {
            AttemptState::NotStarted
        });
        self.charge(key, run);
        self.end_cancelled(key, actions);
    }

    /// Handles an attempt with a task that failed or returned an answer that did not pass verification.
    fn conclude_failed(&mut self, key: Key, run: &Run, part: usize, actions: &mut Vec<Action>) {
        let worker = run
            .attempt_lease_of(part as u16)
            .and_then(|attempt_lease| self.workers[attempt_lease.worker].policy_key);
        let Some(job) = self.jobs.get_mut(key) else { return };
        if let Some(report) = run.parts[part].ended(TaskState::Failed) {
            job.row.failure = Some(report.failure.clone().unwrap_or_else(|| "task failed".to_owned()));
        }
        let event = |job: JobKey| match worker {
            Some(worker) => Observed::Failed { job, worker },
            None => Observed::Stopped { job, preserved_ms: 0 },
        };
        if job.row.spec.idempotent {
            self.requeue(key, AttemptState::Failed, event, actions);
        } else {
            job.set_attempt_state(AttemptState::Failed);
            let message = job.row.failure.clone().unwrap_or_default();
            self.remove_from_policy(key, event);
            self.finalize(key, JobState::Failed, Outcome::Failed { message }, actions);
        }
    }

    /// Handles an attempt that was ended by the system or by the loss of a worker.
    fn conclude_stopped(&mut self, key: Key, run: &Run, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let checkpoint = |part: &PartState| part.ended(TaskState::Checkpointed)?.checkpoint.clone();
        let checkpoints: Option<Vec<String>> = run.parts.iter().map(checkpoint).collect();
        let preserved_ms = match checkpoints {
            Some(checkpoints) => {
                job.row.checkpoints.clone_from(&checkpoints);
                job.checkpoints = checkpoints;
                self.charge(key, run);
                self.now_ms.saturating_sub(run.started_ms)
            }
            // Earlier checkpoints remain usable for idempotent work only: other work would repeat what ran after them.
            None if job.row.spec.idempotent => 0,
            None => {
                job.set_attempt_state(AttemptState::Stopped);
                let message = "stopped before its end; it may not run again".to_owned();
                self.finalize(key, JobState::Failed, Outcome::Failed { message }, actions);
                return;
            }
        };
        let event = |job| Observed::Stopped { job, preserved_ms };
        self.requeue(key, AttemptState::Stopped, event, actions);
    }

    /// Requeues a job of which nothing runs.
    fn requeue(
        &mut self,
        key: Key,
        state: AttemptState,
        event: impl FnOnce(JobKey) -> Observed,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.set_attempt_state(state);
        job.row.state = JobState::Queued;
        let requeued = Event::new(EventKind::JobRequeued)
            .job(job.id.clone())
            .attempt(job.last_attempt());
        let (policy_key, is_cancelled) = (job.policy_key, job.row.cancel_requested);
        self.event(requeued, actions);
        if is_cancelled {
            self.end_cancelled(key, actions);
            return;
        }
        match policy_key {
            Some(policy_key) => {
                self.policy.observe(self.now_ms, event(policy_key));
                self.set_phase(key, Phase::Queued);
            }
            None => self.submit(key, actions),
        }
        self.mark_dirty(key);
    }

    /// Makes the outcome indeterminate until the unresponsive workers answer; the capacity of the others is freed.
    fn mark_unknown(&mut self, key: Key, actions: &mut Vec<Action>) {
        if self.jobs[key].phase == Phase::Unknown {
            return;
        }
        self.remove_from_policy(key, |job| Observed::Removed { job });
        self.set_phase(key, Phase::Unknown);
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.row.state = JobState::Indeterminate;
        job.set_attempt_state(AttemptState::Unknown);
        let id = job.id.clone();
        let event = Event::new(EventKind::RequestIndeterminate).job(id.clone());
        self.event(event, actions);
        actions.push(Action::Outcome {
            job: id,
            outcome: Box::new(Outcome::Indeterminate),
        });
        self.mark_dirty(key);
    }

    /// Adds the charge of an attempt that finished, saved checkpoints or was cancelled by the caller.
    fn charge(&mut self, key: Key, run: &Run) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if let Some(charge) = charge_of(job, run, &self.data_centre, |ix| self.workers[ix].id.clone()) {
            job.charges.push(charge);
        }
    }
}

/// Returns whether a non-idempotent attempt can no longer finish, whatever its unresponsive parts did.
fn cannot_finish(run: &Run) -> bool {
    run.parts.iter().any(|part| match part {
        PartState::Ended(report) => matches!(report.state, TaskState::Failed | TaskState::Stopped),
        PartState::Lost => true,
        _ => false,
    })
}

/// Returns the charge for the parts that a worker reported as ended; `None` if there are none.
fn charge_of(
    job: &Job,
    run: &Run,
    data_centre: &model::DataCentreId,
    worker_of: impl Fn(usize) -> model::WorkerId,
) -> Option<Charge> {
    let ran = |part: &u16| matches!(run.parts[usize::from(*part)], PartState::Ended(_));
    let leases: Vec<_> = (run.attempt_leases.iter())
        .filter(|attempt_lease| attempt_lease.parts.iter().any(ran))
        .map(|attempt_lease| (worker_of(attempt_lease.worker), attempt_lease.lease))
        .collect();
    (!leases.is_empty()).then(|| Charge {
        job: job.id.clone(),
        attempt: run.number,
        data_centre: data_centre.clone(),
        leases,
        accelerator_ms: run.accelerator_ms(),
        confirmed: true,
    })
}
