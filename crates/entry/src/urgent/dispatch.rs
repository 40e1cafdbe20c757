use std::time::Duration;

use model::{JobRow, JobState, Outcome, Refusal, StartRequest, TaskId, WorkerError};
use net::WorkerCallError;
use rand::Rng;
use sched::WriteOutcome;
use store::Table;
use trace::{Event, EventKind};

use super::attempt_record::{Verdict, close, open_attempt};
use super::desk::{Desk, Place, UrgentJob, refused};
use super::grant_pool::Ticket;
use super::next_place::NextPlace;
use super::recorder::RecordError;
use super::resolve::{Finding, find_out};
use super::unrecorded::Unrecorded;
use crate::scheduling::JobWrite;

/// Interval of looking at a worker or a row again while the outcome is unknown.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// Interval of looking again once the caller has gone.
const LOOK_AGAIN_LATER: Duration = Duration::from_secs(2);
/// How long an unknown outcome is looked for; workers keep reports for 10 min.
const LOOK_FOR_MS: u64 = 600_000;

/// Dispatch of urgent requests to workers.
impl Desk {
    /// Runs an idempotent request; it may run again elsewhere if its outcome is lost.
    pub(super) async fn serve_idempotent(&self, job: &mut UrgentJob) -> Outcome {
        let mut may_have_run = false;
        let mut failures = 0;
        let mut tries = 0;
        loop {
            let ticket = match self.place(job).await {
                Ok(Place::Here(ticket)) => ticket,
                Ok(Place::Served(Outcome::DidNotRun { .. })) | Err(_) if may_have_run => {
                    return Outcome::Indeterminate;
                }
                Ok(Place::Served(outcome)) => return outcome,
                Err(refusal) => return refused(refusal),
            };
            // The number only has to differ between runs: a worker answers a repeated task id from memory, and a request
            // id that was used with another body must not get that answer.
            let attempt = rand::rng().random_range(1..=u32::MAX);
            let task = TaskId::new(job.spec.id(), attempt, 0);
            let result = self.run(job, &ticket, task).await;
            self.give_back(&ticket);
            let is_other_worker = !job.avoid.contains(&ticket.worker);
            job.avoid.push(ticket.worker.clone());
            match result {
                Ok(Verdict::Ran { answer, .. }) => return Outcome::Ran { answer },
                Ok(Verdict::Failed { message, .. }) => {
                    may_have_run = true;
                    failures += usize::from(is_other_worker);
                    if failures >= Self::MAX_FAILURES || !self.may_retry(job, tries).await {
                        return Outcome::Failed { message };
                    }
                }
                Ok(Verdict::NotStarted | Verdict::Forgotten) | Err(_) => {
                    may_have_run |= matches!(result, Err(WorkerCallError::Lost));
                    if !self.may_retry(job, tries).await {
                        return if may_have_run {
                            Outcome::Indeterminate
                        } else {
                            refused(not_started())
                        };
                    }
                }
            }
            tries += 1;
        }
    }

    /// Distinct workers on which an idempotent request may fail before it counts as failed.
    const MAX_FAILURES: usize = 3;

    /// Runs a non-idempotent request at most once: the attempt record is durable before anything is dispatched.
    pub(super) async fn serve_once(&self, job: &mut UrgentJob) -> Outcome {
        let mut ticket = match self.place(job).await {
            Ok(Place::Here(ticket)) => ticket,
            Ok(Place::Served(outcome)) => return outcome,
            Err(refusal) => return self.refuse_once(job, refusal).await,
        };
        let data_centre = self.shared.settings.data_centre.clone();
        let now_unix_ms = self.shared.clock.now_unix_ms();
        let mut row = JobRow::new(job.spec.clone(), data_centre, now_unix_ms);
        let mut task = open_attempt(&mut row, &ticket, now_unix_ms);
        let mut version = match self.record(&mut row, &mut task, &ticket).await {
            Ok(version) => version,
            Err(Unrecorded::Refused(refusal)) => {
                self.give_back(&ticket);
                return refused(refusal);
            }
            Err(Unrecorded::Exists) => {
                self.give_back(&ticket);
                return self.follow(job).await;
            }
        };
        let mut tries = 0;
        loop {
            self.shared.timeline.push(
                Event::new(EventKind::AttemptRecorded)
                    .job(row.id())
                    .attempt(task.attempt)
                    .lease(ticket.lease)
                    .worker(ticket.worker.clone()),
            );
            let verdict = match self.run(job, &ticket, task.clone()).await {
                Ok(verdict) => Some(verdict),
                Err(WorkerCallError::Lost) => self.resolve(&ticket, &task, job.deadline_ms, LOOK_AGAIN).await,
                Err(_) => Some(Verdict::NotStarted),
            };
            self.give_back(&ticket);
            let Some(verdict) = verdict else {
                self.close_later(row, version, ticket, task);
                return Outcome::Indeterminate;
            };
            if verdict == Verdict::NotStarted && self.may_retry(job, tries).await {
                job.avoid.push(ticket.worker.clone());
                tries += 1;
                match self.next_place(job, &mut row, &mut version).await {
                    NextPlace::Here(next) => {
                        (ticket, task) = *next;
                        continue;
                    }
                    NextPlace::Served(outcome) => return outcome,
                    NextPlace::Nowhere => {}
                }
            }
            let outcome = outcome_of(&verdict);
            self.close_row(row, version, &verdict);
            return outcome;
        }
    }

    /// Refuses a non-idempotent request that found no place, unless an earlier one with the same id was recorded.
    async fn refuse_once(&self, job: &UrgentJob, refusal: Refusal) -> Outcome {
        match self.clients.store.read(&JobRow::key_of(&job.spec.id())).await {
            Ok(None) => refused(refusal),
            Ok(Some(_)) => self.follow(job).await,
            Err(_) => refused(Refusal::StoreUnavailable {
                retry_after_ms: Self::RETRY_MS,
            }),
        }
    }

    /// Finds a place for a job whose attempt proved not to have started: here, at another instance, or here as soon as
    /// another grant comes. The first grants of an instance may all lie on the worker that refused.
    async fn next_place(&self, job: &UrgentJob, row: &mut JobRow, version: &mut u64) -> NextPlace {
        let mut is_closed = false;
        loop {
            if let Some(next) = self.next_attempt(job, row, version).await {
                return NextPlace::Here(Box::new(next));
            }
            if !is_closed && !self.close_unstarted(row, version).await {
                return NextPlace::Nowhere;
            }
            is_closed = true;
            if let Some(outcome) = self.forward(job).await {
                return NextPlace::Served(outcome);
            }
            if self.left_ms(job) == 0 || self.wait(job).await.is_err() {
                return NextPlace::Nowhere;
            }
        }
    }

    /// Records that the attempt did not start: another instance takes the job over only when its row proves that it
    /// did not run. Returns whether that was written.
    async fn close_unstarted(&self, row: &mut JobRow, version: &mut u64) -> bool {
        let mut closed = row.clone();
        close(&mut closed, &Verdict::NotStarted, Self::RETRY_MS);
        match self
            .job_write(closed.clone(), *version)
            .commit(&self.clients.store)
            .await
        {
            WriteOutcome::Done { version: written } => {
                *row = closed;
                *version = written;
                true
            }
            _ => false,
        }
    }

    /// Makes a recorded attempt that proved not to have started one on another worker.
    async fn next_attempt(&self, job: &UrgentJob, row: &mut JobRow, version: &mut u64) -> Option<(Ticket, TaskId)> {
        let need = job.spec.need_per_part();
        let ticket = self.pick(need, &job.avoid)?;
        let mut next = row.clone();
        let task = open_attempt(&mut next, &ticket, self.shared.clock.now_unix_ms());
        match self.job_write(next.clone(), *version).commit(&self.clients.store).await {
            WriteOutcome::Done { version: written } => {
                *row = next;
                *version = written;
                return Some((ticket, task));
            }
            // The record may have taken effect, so the final state has to name the new attempt as not started.
            WriteOutcome::Unavailable | WriteOutcome::Unknown => *row = next,
            WriteOutcome::Conflict { .. } => {}
        }
        self.give_back(&ticket);
        None
    }

    /// Sends the task to the worker and reads its end.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`]; only [`WorkerCallError::Lost`] leaves open whether the task ran.
    async fn run(&self, job: &UrgentJob, ticket: &Ticket, task: TaskId) -> Result<Verdict, WorkerCallError> {
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
            Err(WorkerCallError::Refused(error)) => self.note_refusal(ticket, *error),
            Err(_) => self.pool.borrow_mut().doubt(&ticket.worker),
        }
        result.map(Verdict::of)
    }

    /// Stops using a grant, or all of a worker, that the refusal shows to be of no use.
    fn note_refusal(&self, ticket: &Ticket, error: WorkerError) {
        let mut pool = self.pool.borrow_mut();
        match error {
            WorkerError::Leaving => pool.recall_worker(&ticket.worker),
            WorkerError::LeaseNotLive | WorkerError::UnknownWorker => {
                pool.end(self.shared.clock.now_ms(), ticket.worker.clone(), ticket.lease);
            }
            _ => {}
        }
    }

    /// Writes the attempt record of a new job, or of one that is proven not to have run before.
    async fn record(&self, row: &mut JobRow, task: &mut TaskId, ticket: &Ticket) -> Result<u64, Unrecorded> {
        let (result, begins_batch) = self.recorder.queue(row.clone());
        if begins_batch {
            self.arm_recorder();
        }
        match result.await.unwrap_or(Err(RecordError::Unknown)) {
            Ok(version) => Ok(version),
            Err(RecordError::Unavailable) => Err(Unrecorded::Refused(store_unavailable())),
            Err(RecordError::Unknown) => {
                // Nothing is dispatched, so the work does not run even if the record took effect.
                self.close_row(row.clone(), 0, &Verdict::NotStarted);
                Err(Unrecorded::Refused(store_unavailable()))
            }
            Err(RecordError::Exists(found, version)) => {
                if found.digest != row.digest {
                    let request_id = row.spec.request_id.clone();
                    return Err(Unrecorded::Refused(Refusal::RequestIdReused { request_id }));
                }
                if found.state != JobState::DidNotRun {
                    return Err(Unrecorded::Exists);
                }
                // Proven not to have run, so the caller's retry is a new attempt at the same job.
                let mut again = *found;
                again.data_centre = row.data_centre.clone();
                *task = open_attempt(&mut again, ticket, self.shared.clock.now_unix_ms());
                *row = again;
                match self.job_write(row.clone(), version).commit(&self.clients.store).await {
                    WriteOutcome::Done { version } => Ok(version),
                    WriteOutcome::Conflict { .. } => Err(Unrecorded::Exists),
                    WriteOutcome::Unavailable | WriteOutcome::Unknown => {
                        self.close_row(row.clone(), version, &Verdict::NotStarted);
                        Err(Unrecorded::Refused(store_unavailable()))
                    }
                }
            }
        }
    }

    /// Waits for the outcome of the same job, which another request started.
    async fn follow(&self, job: &UrgentJob) -> Outcome {
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
            actix_rt::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Asks the worker until it shows what became of the task; `None` if it does not before `until_ms`.
    async fn resolve(&self, ticket: &Ticket, task: &TaskId, until_ms: u64, pause: Duration) -> Option<Verdict> {
        loop {
            let base_url = self.address_of(&ticket.worker);
            match find_out(&self.clients.workers, &base_url, &ticket.worker, ticket.lease, task).await {
                Finding::Ended(report) => return Some(Verdict::of(*report)),
                Finding::NotStarted => return Some(Verdict::NotStarted),
                Finding::Forgotten => return Some(Verdict::Forgotten),
                Finding::Running | Finding::Silent => {}
            }
            if self.shared.clock.now_ms() >= until_ms {
                return None;
            }
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Goes on looking for the outcome after the caller was told that it is unknown.
    fn close_later(&self, row: JobRow, version: u64, ticket: Ticket, task: TaskId) {
        let Some(desk) = self.address.get().cloned() else {
            return;
        };
        desk.do_send(super::urgent_desk::CloseLater {
            row,
            version,
            ticket,
            task,
        });
    }

    pub(super) async fn find_and_close(&self, row: JobRow, version: u64, ticket: Ticket, task: TaskId) {
        let until_ms = self.shared.clock.now_ms() + LOOK_FOR_MS;
        let verdict = self.resolve(&ticket, &task, until_ms, LOOK_AGAIN_LATER).await;
        self.close_row(row, version, &verdict.unwrap_or(Verdict::Forgotten));
    }

    /// Writes the final state in the background; the caller has its answer, and the attempt record is durable.
    fn close_row(&self, mut row: JobRow, version: u64, verdict: &Verdict) {
        let event = Event::new(EventKind::JobEnded).job(row.id());
        let (answer, charge) = close(&mut row, verdict, Self::RETRY_MS);
        self.shared.timeline.push(event.cause(format!("{:?}", row.state)));
        let mut write = self.job_write(row, version);
        write.answer = answer;
        write.charge = charge;
        if let Some(desk) = self.address.get() {
            self.closing.set(self.closing.get() + 1);
            desk.do_send(super::urgent_desk::CloseRow(Box::new(write)));
        }
    }

    fn job_write(&self, row: JobRow, expected_version: u64) -> JobWrite {
        JobWrite {
            row,
            expected_version,
            answer: None,
            charge: None,
            data_centre: self.shared.settings.data_centre.clone(),
        }
    }
}

fn outcome_of(verdict: &Verdict) -> Outcome {
    match verdict {
        Verdict::Ran { answer, .. } => Outcome::Ran { answer: answer.clone() },
        Verdict::Failed { message, .. } => Outcome::Failed {
            message: message.clone(),
        },
        Verdict::NotStarted => refused(not_started()),
        Verdict::Forgotten => Outcome::Indeterminate,
    }
}

const fn not_started() -> Refusal {
    Refusal::NotStarted {
        retry_after_ms: Desk::RETRY_MS,
    }
}

const fn store_unavailable() -> Refusal {
    Refusal::StoreUnavailable {
        retry_after_ms: Desk::RETRY_MS,
    }
}
