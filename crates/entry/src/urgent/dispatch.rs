use std::time::Duration;

use model::{JobRow, JobState, Outcome, Refusal, StartRequest, TaskId, WorkerError};
use net::WorkerCallError;
use rand::Rng;
use sched::WriteOutcome;
use store::Table;
use trace::{Event, EventKind};

use super::attempt_record::{AttemptResult, apply_result, open_attempt};
use super::grant_pool::Ticket;
use super::record_rejection::RecordRejection;
use super::recorder::RecordError;
use super::retry_placement::RetryPlacement;
use super::sent_attempt::SentAttempt;
use super::urgent_core::{RequestPlacement, UrgentCore, UrgentJob, refused};

/// Poll interval of a worker or a row while the outcome is unknown.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Dispatch of urgent requests to workers.
impl UrgentCore {
    /// Runs an idempotent request, which may run again on another worker if its outcome is lost.
    pub(super) async fn serve_idempotent(&self, job: &mut UrgentJob) -> Outcome {
        let mut failures = 0;
        let mut retries = 0;
        loop {
            let ticket = match self.place(job).await {
                Ok(RequestPlacement::Local(ticket)) => ticket,
                Ok(RequestPlacement::Served(Outcome::DidNotRun { .. })) | Err(_) if job.may_have_run.get() => {
                    return Outcome::Indeterminate;
                }
                Ok(RequestPlacement::Served(outcome)) => return outcome,
                Err(refusal) => return refused(refusal),
            };
            // The number must differ between runs: a worker answers a repeated task id from memory, and a request id
            // reused with another body must not get that answer.
            let attempt = rand::rng().random_range(1..=u32::MAX);
            let task = TaskId::new(job.spec.id(), attempt, 0);
            let result = self.run(job, &ticket, task).await;
            self.release_ticket(&ticket);
            let is_other_worker = !job.excluded_workers.contains(&ticket.worker);
            job.excluded_workers.push(ticket.worker.clone());
            match result {
                Ok(AttemptResult::Ran { answer, .. }) => return Outcome::Ran { answer },
                Ok(AttemptResult::Failed { message, .. }) => {
                    job.may_have_run.set(true);
                    failures += usize::from(is_other_worker);
                    if failures >= Self::MAX_FAILURES || !self.acquire_retry(job, retries).await {
                        return Outcome::Failed { message };
                    }
                }
                Ok(AttemptResult::NotStarted | AttemptResult::Unknown) | Err(_) => {
                    if matches!(result, Ok(AttemptResult::Unknown) | Err(WorkerCallError::Lost)) {
                        job.may_have_run.set(true);
                    }
                    if !self.acquire_retry(job, retries).await {
                        return if job.may_have_run.get() {
                            Outcome::Indeterminate
                        } else {
                            refused(not_started())
                        };
                    }
                }
            }
            retries += 1;
        }
    }

    /// Distinct workers on which an idempotent request may fail before it counts as failed.
    const MAX_FAILURES: usize = 3;

    /// Runs a non-idempotent request at most once: the attempt record is durable before anything is dispatched.
    pub(super) async fn serve_non_idempotent(&self, job: &mut UrgentJob) -> Outcome {
        let mut ticket = match self.place(job).await {
            Ok(RequestPlacement::Local(ticket)) => ticket,
            Ok(RequestPlacement::Served(outcome)) => return outcome,
            Err(refusal) => return self.refuse_unless_recorded(job, refusal).await,
        };
        let data_centre = self.shared.settings.data_centre.clone();
        let now_unix_ms = self.shared.clock.now_unix_ms();
        let mut row = JobRow::new(job.spec.clone(), data_centre, now_unix_ms);
        let mut task = open_attempt(&mut row, &ticket, now_unix_ms);
        let mut version = match self.record(&mut row, &mut task, &ticket).await {
            Ok(version) => version,
            Err(RecordRejection::Refused(refusal)) => {
                self.release_ticket(&ticket);
                return refused(refusal);
            }
            Err(RecordRejection::Exists) => {
                self.release_ticket(&ticket);
                return self.await_recorded_outcome(job).await;
            }
        };
        let mut retries = 0;
        loop {
            self.shared.timeline.push(
                Event::new(EventKind::AttemptRecorded)
                    .job(row.id())
                    .attempt(task.attempt)
                    .lease(ticket.lease)
                    .worker(ticket.worker.clone()),
            );
            let attempt = SentAttempt {
                ticket: ticket.clone(),
                task: task.clone(),
                sent_ms: self.shared.clock.now_ms(),
            };
            let attempt_result = match self.run(job, &ticket, task.clone()).await {
                Ok(attempt_result) => Some(attempt_result),
                Err(WorkerCallError::Lost) => self.poll_task(&attempt, job.deadline_ms, POLL_INTERVAL).await,
                Err(_) => Some(AttemptResult::NotStarted),
            };
            self.release_ticket(&ticket);
            let Some(attempt_result) = attempt_result else {
                self.resolve_later(row, version, attempt);
                return Outcome::Indeterminate;
            };
            if attempt_result == AttemptResult::NotStarted && self.acquire_retry(job, retries).await {
                job.excluded_workers.push(ticket.worker.clone());
                retries += 1;
                match self.place_retry(job, &mut row, &mut version).await {
                    RetryPlacement::Local(next) => {
                        (ticket, task) = *next;
                        continue;
                    }
                    RetryPlacement::Served(outcome) => return outcome,
                    RetryPlacement::Unplaced => {}
                }
            }
            let outcome = outcome_of(&attempt_result);
            self.write_final_state(row, version, &attempt_result);
            return outcome;
        }
    }

    /// Refuses a non-idempotent request that could not be placed, unless one with the same id is already recorded.
    async fn refuse_unless_recorded(&self, job: &UrgentJob, refusal: Refusal) -> Outcome {
        match self.clients.store.read(&JobRow::key_of(&job.spec.id())).await {
            Ok(None) => refused(refusal),
            Ok(Some(_)) => self.await_recorded_outcome(job).await,
            Err(_) => refused(Refusal::StoreUnavailable {
                retry_after_ms: Self::RETRY_AFTER_MS,
            }),
        }
    }

    /// Places a job whose attempt provably did not start: here, at another instance, or here once another grant
    /// arrives. The first grants of an instance may all be on the worker that refused.
    async fn place_retry(&self, job: &UrgentJob, row: &mut JobRow, version: &mut u64) -> RetryPlacement {
        let mut is_marked_not_started = false;
        loop {
            if let Some(next) = self.next_attempt(job, row, version).await {
                return RetryPlacement::Local(Box::new(next));
            }
            if !is_marked_not_started && !self.write_not_started(row, version).await {
                return RetryPlacement::Unplaced;
            }
            is_marked_not_started = true;
            if let Some(outcome) = self.forward(job).await {
                return RetryPlacement::Served(outcome);
            }
            if self.left_ms(job) == 0 || self.wait_for_grant(job).await.is_err() {
                return RetryPlacement::Unplaced;
            }
        }
    }

    /// Records that the attempt did not start, and returns whether that was written. Another instance takes the job
    /// over only if its row proves that it did not run.
    async fn write_not_started(&self, row: &mut JobRow, version: &mut u64) -> bool {
        let mut next = row.clone();
        apply_result(&mut next, &AttemptResult::NotStarted, Self::RETRY_AFTER_MS);
        match self.job_write(next.clone(), *version).commit(&self.clients.store).await {
            WriteOutcome::Done { version: written } => {
                *row = next;
                *version = written;
                true
            }
            _ => false,
        }
    }

    /// Records a new attempt on another worker, after one that provably did not start.
    async fn next_attempt(&self, job: &UrgentJob, row: &mut JobRow, version: &mut u64) -> Option<(Ticket, TaskId)> {
        let need = job.spec.need_per_part();
        let ticket = self.pick(need, &job.excluded_workers)?;
        let mut next = row.clone();
        let task = open_attempt(&mut next, &ticket, self.shared.clock.now_unix_ms());
        match self.job_write(next.clone(), *version).commit(&self.clients.store).await {
            WriteOutcome::Done { version: written } => {
                *row = next;
                *version = written;
                return Some((ticket, task));
            }
            // The record may have taken effect, so the final state has to mark the new attempt as not started.
            WriteOutcome::Unavailable | WriteOutcome::Unknown => *row = next,
            WriteOutcome::Conflict { .. } => {}
        }
        self.release_ticket(&ticket);
        None
    }

    /// Runs the task on the worker and reads its result.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`]; only after [`WorkerCallError::Lost`] is it unknown whether the task ran.
    async fn run(&self, job: &UrgentJob, ticket: &Ticket, task: TaskId) -> Result<AttemptResult, WorkerCallError> {
        let request = StartRequest {
            lease: ticket.lease,
            epoch: ticket.lease.epoch,
            task,
            resources: ticket.need,
            payload: job.spec.payload.clone(),
            resume_from: None,
            checkpointable: false,
        };
        let waited_ms = self.shared.clock.now_ms().saturating_sub(job.accepted_ms);
        self.shared
            .metrics
            .urgent_start_seconds
            .observe(waited_ms as f64 / 1_000.0);
        let base_url = self.address_of(&ticket.worker);
        let limit = Duration::from_millis(self.left_ms(job).max(1));
        let result = self
            .clients
            .workers
            .run(&base_url, &ticket.worker, &request, limit)
            .await;
        let label = match &result {
            Ok(_) => "replied",
            Err(WorkerCallError::Lost) => "lost",
            Err(_) => "refused",
        };
        self.shared
            .metrics
            .worker_commands
            .with_label_values(&["run", label])
            .inc();
        match &result {
            Ok(_) => {}
            Err(WorkerCallError::Refused(error)) => self.handle_worker_refusal(ticket, *error),
            Err(_) => self.pool.borrow_mut().mark_unconfirmed(&ticket.worker),
        }
        result.map(AttemptResult::from_report)
    }

    /// Stops using the grant, or all grants of the worker, if the refusal shows that they are unusable.
    fn handle_worker_refusal(&self, ticket: &Ticket, error: WorkerError) {
        let mut pool = self.pool.borrow_mut();
        match error {
            WorkerError::Leaving => pool.recall_worker(&ticket.worker),
            WorkerError::LeaseNotLive | WorkerError::UnknownWorker => {
                pool.end(self.shared.clock.now_ms(), ticket.worker.clone(), ticket.lease);
            }
            _ => {}
        }
    }

    /// Writes the attempt record of a new job, or of one that provably has not run.
    async fn record(&self, row: &mut JobRow, task: &mut TaskId, ticket: &Ticket) -> Result<u64, RecordRejection> {
        let (result, is_first_in_batch) = self.recorder.queue(row.clone());
        if is_first_in_batch {
            self.schedule_record_flush();
        }
        match result.await.unwrap_or(Err(RecordError::Unknown)) {
            Ok(version) => Ok(version),
            Err(RecordError::Unavailable) => Err(RecordRejection::Refused(store_unavailable())),
            Err(RecordError::Unknown) => {
                // Nothing is dispatched, so the work does not run even if the record took effect.
                self.write_final_state(row.clone(), 0, &AttemptResult::NotStarted);
                Err(RecordRejection::Refused(store_unavailable()))
            }
            Err(RecordError::Exists(found, version)) => {
                if found.digest != row.digest {
                    let request_id = row.spec.request_id.clone();
                    return Err(RecordRejection::Refused(Refusal::RequestIdReused { request_id }));
                }
                // Another instance may resolve a recorded attempt while this one still reads back the lost reply of the
                // record. Nothing was dispatched for it, whatever the other instance concluded.
                let is_own = found.has_same_last_attempt(row);
                let did_not_run = found.state == JobState::DidNotRun || (is_own && !found.state.is_final());
                if !did_not_run || found.cancel_requested {
                    return Err(RecordRejection::Exists);
                }
                // The job provably did not run, so the caller's retry is a new attempt.
                let mut again = *found;
                again.data_centre = row.data_centre.clone();
                *task = open_attempt(&mut again, ticket, self.shared.clock.now_unix_ms());
                *row = again;
                match self.job_write(row.clone(), version).commit(&self.clients.store).await {
                    WriteOutcome::Done { version } => Ok(version),
                    WriteOutcome::Conflict { .. } => Err(RecordRejection::Exists),
                    WriteOutcome::Unavailable | WriteOutcome::Unknown => {
                        self.write_final_state(row.clone(), version, &AttemptResult::NotStarted);
                        Err(RecordRejection::Refused(store_unavailable()))
                    }
                }
            }
        }
    }

    /// Waits for the outcome of a job that another request started.
    async fn await_recorded_outcome(&self, job: &UrgentJob) -> Outcome {
        let id = job.spec.id();
        loop {
            if let Ok(Some(row)) = self.clients.store.read(&JobRow::key_of(&id)).await
                && let Ok(row) = serde_json::from_value::<JobRow>(row.value)
                && let Some(outcome) = crate::jobs::outcome_of_row(self.clients.store.as_ref(), &row).await
            {
                return outcome;
            }
            if self.left_ms(job) == 0 {
                return Outcome::InProgress;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn outcome_of(attempt_result: &AttemptResult) -> Outcome {
    match attempt_result {
        AttemptResult::Ran { answer, .. } => Outcome::Ran { answer: answer.clone() },
        AttemptResult::Failed { message, .. } => Outcome::Failed {
            message: message.clone(),
        },
        AttemptResult::NotStarted => refused(not_started()),
        AttemptResult::Unknown => Outcome::Indeterminate,
    }
}

const fn not_started() -> Refusal {
    Refusal::NotStarted {
        retry_after_ms: UrgentCore::RETRY_AFTER_MS,
    }
}

const fn store_unavailable() -> Refusal {
    Refusal::StoreUnavailable {
        retry_after_ms: UrgentCore::RETRY_AFTER_MS,
    }
}
