use std::cell::{Cell, OnceCell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

use actix::Addr;
use model::{JobSpec, Outcome, Refusal, Resources, WorkerId};
use timer::{Subscribe, Timer};
use tokio::sync::oneshot;

use super::demand::Demand;
use super::grant_pool::{GrantPool, Ticket};
use super::recent_ids::RecentIds;
use super::recorder::Recorder;
use super::retry_budget::RetryBudget;
use super::urgent_actor::{RECORD_TOPIC, UrgentActor};
use crate::context::{Clients, Context as Shared};

/// State and logic of urgent requests, shared by the requests in flight on the actors' thread.
#[derive(Debug)]
pub(super) struct UrgentCore {
    pub(super) shared: Shared,
    pub(super) clients: Clients,
    pub(super) timer: Addr<Timer>,
    pub(super) address: OnceCell<Addr<UrgentActor>>,
    pub(super) pool: RefCell<GrantPool>,
    pub(super) retry_budget: RefCell<RetryBudget>,
    pub(super) recent_ids: RefCell<RecentIds>,
    pub(super) recorder: Recorder,
    pub(super) demand: RefCell<Demand>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
    /// Number of final states of attempts that are still to be written.
    pub(super) pending_final_writes: Cell<usize>,
}

/// Urgent request in flight at this instance.
#[derive(Debug, Clone)]
pub(super) struct UrgentJob {
    pub(super) spec: JobSpec,
    /// Monotonic time after which the caller no longer needs the answer.
    pub(super) deadline_ms: u64,
    pub(super) accepted_ms: u64,
    /// Number of instances that have forwarded the request.
    pub(super) hops: u32,
    /// Workers that failed this request or did not answer.
    pub(super) excluded_workers: Vec<WorkerId>,
    /// A reply was lost, so that the request may have run; a refusal must not say that it did not.
    pub(super) may_have_run: Cell<bool>,
}

/// Result of placing a request.
pub(super) enum RequestPlacement {
    /// The request may run under a grant of this instance.
    Local(Ticket),
    /// Another instance served the request.
    Served(Outcome),
}

impl UrgentCore {
    /// Maximum number of requests that wait for a grant; more are refused, since they would only miss their deadlines.
    const MAX_WAITING: usize = 1_024;
    /// Retry delay for a refused caller.
    pub(super) const RETRY_AFTER_MS: u64 = 500;
    /// Longest wait for a grant before the request tries other instances again.
    const MAX_GRANT_WAIT: Duration = Duration::from_millis(200);
    /// Maximum number of instances that may forward a request.
    pub(super) const MAX_HOPS: u32 = 2;

    pub(super) fn new(shared: Shared, clients: Clients, timer: Addr<Timer>) -> Self {
        Self {
            recorder: Recorder::new(shared.clone(), clients.clone()),
            retry_budget: RefCell::new(RetryBudget::new(shared.clock.now_ms())),
            shared,
            clients,
            timer,
            address: OnceCell::new(),
            pool: RefCell::default(),
            recent_ids: RefCell::default(),
            demand: RefCell::default(),
            waiting: RefCell::default(),
            pending_final_writes: Cell::new(0),
        }
    }

    /// Serves an urgent request until it has an answer, a refusal or no time left.
    pub(super) async fn serve(&self, mut job: UrgentJob) -> Outcome {
        if self.is_reused(&job.spec) {
            let request_id = job.spec.request_id;
            return refused(Refusal::RequestIdReused { request_id });
        }
        let outcome = if job.spec.idempotent {
            self.serve_idempotent(&mut job).await
        } else {
            self.serve_non_idempotent(&mut job).await
        };
        if matches!(outcome, Outcome::Ran { .. } | Outcome::Failed { .. }) {
            self.retry_budget.borrow_mut().record_success();
        }
        let elapsed_ms = self.shared.clock.now_ms().saturating_sub(job.accepted_ms);
        self.shared
            .metrics
            .urgent_answer_seconds
            .observe(elapsed_ms as f64 / 1_000.0);
        outcome
    }

    fn is_reused(&self, spec: &JobSpec) -> bool {
        spec.idempotent && self.recent_ids.borrow_mut().is_reused(&spec.id(), spec.digest())
    }

    /// Finds a local grant, forwards the request, or waits until a grant is free.
    ///
    /// # Errors
    ///
    /// Returns the refusal if nothing can run the request in time; the request was not dispatched.
    pub(super) async fn place(&self, job: &UrgentJob) -> Result<RequestPlacement, Refusal> {
        let need = job.spec.need_per_part();
        loop {
            if self.left_ms(job) == 0 {
                return Err(Refusal::DeadlinePassed);
            }
            let in_service = self
                .shared
                .published
                .config()
                .is_in_service(&self.shared.settings.data_centre);
            if in_service && let Some(ticket) = self.pick(need, &job.excluded_workers) {
                return Ok(RequestPlacement::Local(ticket));
            }
            if let Some(outcome) = self.forward(job).await {
                return Ok(RequestPlacement::Served(outcome));
            }
            // No other worker is left, so one that failed before is tried again.
            if in_service && let Some(ticket) = self.pick(need, &[]) {
                return Ok(RequestPlacement::Local(ticket));
            }
            if !in_service {
                return Err(Refusal::NoDataCentre {
                    retry_after_ms: Self::RETRY_AFTER_MS,
                });
            }
            if self.shared.published.is_stopping() && self.pool.borrow().is_empty() {
                return Err(Refusal::Stopping);
            }
            self.wait_for_grant(job).await?;
        }
    }

    /// Takes a ticket from a free grant on a worker that is not in `excluded_workers`.
    pub(super) fn pick(&self, need: Resources, excluded_workers: &[WorkerId]) -> Option<Ticket> {
        let now_ms = self.shared.clock.now_ms();
        // A worker that missed two renewals is probably unresponsive.
        let max_age_ms = self.shared.settings.worker_renew_interval_ms * 2 + 500;
        let ticket = self.pool.borrow_mut().pick(now_ms, max_age_ms, need, excluded_workers);
        self.publish_slots();
        ticket
    }

    pub(super) fn release_ticket(&self, ticket: &Ticket) {
        self.pool.borrow_mut().release_ticket(ticket);
        self.publish_slots();
        self.wake_next();
    }

    /// Wakes the request that has waited longest, so that it tries to get a grant again.
    pub(super) fn wake_next(&self) {
        let mut waiting = self.waiting.borrow_mut();
        while let Some(waiter) = waiting.pop_front() {
            if waiter.send(()).is_ok() {
                break;
            }
        }
    }

    /// Returns the number of requests that wait for a grant.
    pub(super) fn waiting_count(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting.iter().filter(|waiter| !waiter.is_closed()).count()
    }

    pub(super) async fn wait_for_grant(&self, job: &UrgentJob) -> Result<(), Refusal> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self.waiting.borrow_mut();
            waiting.retain(|waiter| !waiter.is_closed());
            if waiting.len() >= Self::MAX_WAITING {
                return Err(Refusal::QueueFull {
                    organisation: job.spec.organisation.clone(),
                    limit: Self::MAX_WAITING as u32,
                    retry_after_ms: Self::RETRY_AFTER_MS,
                });
            }
            waiting.push_back(sender);
        }
        self.shared.metrics.urgent_waiting.inc();
        let limit = Duration::from_millis(self.left_ms(job)).min(Self::MAX_GRANT_WAIT);
        // Woken or timed out, the request tries this and other instances again.
        let _ = actix_rt::time::timeout(limit, receiver).await;
        self.shared.metrics.urgent_waiting.dec();
        Ok(())
    }

    /// Returns the time that is left until the deadline.
    pub(super) fn left_ms(&self, job: &UrgentJob) -> u64 {
        job.deadline_ms.saturating_sub(self.shared.clock.now_ms())
    }

    /// Returns the address of a worker, as the platform lists it.
    pub(super) fn address_of(&self, worker: &WorkerId) -> String {
        let listing = self.shared.published.listing();
        let listed = listing.workers.iter().find(|listed| listed.id == *worker);
        listed.map(|listed| listed.address.clone()).unwrap_or_default()
    }

    /// Takes a retry token and sleeps for the back-off; returns `false` if budget or deadline do not allow a retry.
    pub(super) async fn acquire_retry(&self, job: &UrgentJob, retries: u32) -> bool {
        let backoff = RetryBudget::backoff(retries);
        if (backoff.as_millis() as u64) >= self.left_ms(job)
            || !self.retry_budget.borrow_mut().try_take(self.shared.clock.now_ms())
        {
            return false;
        }
        self.shared.metrics.urgent_retries.inc();
        actix_rt::time::sleep(backoff).await;
        true
    }

    pub(super) fn publish_slots(&self) {
        let slots = self.pool.borrow().slots();
        let gauge = |state, value: u32| {
            self.shared
                .metrics
                .granted_slots
                .with_label_values(&[state])
                .set(value.into());
        };
        gauge("granted", slots.0);
        gauge("busy", slots.1);
        self.shared.published.granted_slots.send_replace(slots);
    }

    /// Schedules the tick that writes the batch that has just been started.
    pub(super) fn schedule_record_flush(&self) {
        if let Some(address) = self.address.get() {
            let interval = Duration::from_millis(self.shared.settings.record_batch_interval_ms);
            self.timer
                .do_send(Subscribe::once(interval, address.clone().recipient()).topic(RECORD_TOPIC));
        }
    }
}

pub(super) const fn refused(refusal: Refusal) -> Outcome {
    Outcome::DidNotRun { refusal }
}
