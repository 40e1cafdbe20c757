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
use super::urgent_desk::{RECORD, UrgentDesk};
use crate::context::{Clients, Context as Shared};

/// State of the urgent path, shared by the requests under way on the thread of the actors.
#[derive(Debug)]
pub(super) struct Desk {
    pub(super) shared: Shared,
    pub(super) clients: Clients,
    pub(super) timer: Addr<Timer>,
    pub(super) address: OnceCell<Addr<UrgentDesk>>,
    pub(super) pool: RefCell<GrantPool>,
    pub(super) budget: RefCell<RetryBudget>,
    pub(super) recent: RefCell<RecentIds>,
    pub(super) recorder: Recorder,
    pub(super) demand: RefCell<Demand>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
    /// Rows of ended attempts that are still to be written.
    pub(super) closing: Cell<usize>,
}

/// Urgent request on its way through this instance.
#[derive(Debug, Clone)]
pub(super) struct UrgentJob {
    pub(super) spec: JobSpec,
    /// Monotonic time after which the answer is of no use.
    pub(super) deadline_ms: u64,
    pub(super) accepted_ms: u64,
    /// Number of instances that passed the request on.
    pub(super) hops: u32,
    /// Workers that failed this request or did not answer.
    pub(super) avoid: Vec<WorkerId>,
}

/// Result of looking for a place to run.
pub(super) enum Place {
    /// A grant of this instance.
    Here(Ticket),
    /// Another instance served the request.
    Served(Outcome),
}

impl Desk {
    /// Most requests that wait for a grant; more are refused, since they would only miss their deadlines.
    const MAX_WAITING: usize = 1_024;
    /// When a refused caller should come back.
    pub(super) const RETRY_MS: u64 = 500;
    /// Longest wait for a grant before the request looks at other instances again.
    const LOOK_AROUND: Duration = Duration::from_millis(200);
    /// Most instances that may pass a request on.
    pub(super) const MAX_HOPS: u32 = 2;

    pub(super) fn new(shared: Shared, clients: Clients, timer: Addr<Timer>) -> Self {
        Self {
            recorder: Recorder::new(shared.clone(), clients.clone()),
            budget: RefCell::new(RetryBudget::new(shared.clock.now_ms())),
            shared,
            clients,
            timer,
            address: OnceCell::new(),
            pool: RefCell::default(),
            recent: RefCell::default(),
            demand: RefCell::default(),
            waiting: RefCell::default(),
            closing: Cell::new(0),
        }
    }

    /// Serves an urgent request until its answer, a refusal or its deadline.
    pub(super) async fn serve(&self, mut job: UrgentJob) -> Outcome {
        if self.is_reused(&job.spec) {
            let request_id = job.spec.request_id;
            return refused(Refusal::RequestIdReused { request_id });
        }
        let outcome = if job.spec.idempotent {
            self.serve_idempotent(&mut job).await
        } else {
            self.serve_once(&mut job).await
        };
        if matches!(outcome, Outcome::Ran { .. } | Outcome::Failed { .. }) {
            self.budget.borrow_mut().succeed();
        }
        let elapsed_ms = self.shared.clock.now_ms().saturating_sub(job.accepted_ms);
        self.shared
            .metrics
            .urgent_answer_seconds
            .observe(elapsed_ms as f64 / 1_000.0);
        outcome
    }

    fn is_reused(&self, spec: &JobSpec) -> bool {
        spec.idempotent && self.recent.borrow_mut().is_reused(&spec.id(), spec.digest())
    }

    /// Finds a grant here, passes the request on, or waits until a grant is free.
    ///
    /// # Errors
    ///
    /// Returns the refusal if nothing can run the request in time; it was dispatched nowhere.
    pub(super) async fn place(&self, job: &UrgentJob) -> Result<Place, Refusal> {
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
            if in_service && let Some(ticket) = self.pick(need, &job.avoid) {
                return Ok(Place::Here(ticket));
            }
            if let Some(outcome) = self.forward(job).await {
                return Ok(Place::Served(outcome));
            }
            // With no other worker left, one that failed before is better than none.
            if in_service && let Some(ticket) = self.pick(need, &[]) {
                return Ok(Place::Here(ticket));
            }
            if !in_service {
                return Err(Refusal::NoDataCentre {
                    retry_after_ms: Self::RETRY_MS,
                });
            }
            if self.shared.published.is_stopping() && self.pool.borrow().is_empty() {
                return Err(Refusal::Stopping);
            }
            self.wait(job).await?;
        }
    }

    /// Takes a free grant on a worker that is not in `avoid`.
    pub(super) fn pick(&self, need: Resources, avoid: &[WorkerId]) -> Option<Ticket> {
        let now_ms = self.shared.clock.now_ms();
        // A worker that missed two renewals probably does not answer.
        let fresh_ms = self.shared.settings.worker_renew_interval_ms * 2 + 500;
        let ticket = self.pool.borrow_mut().pick(now_ms, fresh_ms, need, avoid);
        self.publish_slots();
        ticket
    }

    pub(super) fn give_back(&self, ticket: &Ticket) {
        self.pool.borrow_mut().give_back(ticket);
        self.publish_slots();
        self.wake();
    }

    /// Lets the request that waits longest look for a grant again.
    pub(super) fn wake(&self) {
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

    pub(super) async fn wait(&self, job: &UrgentJob) -> Result<(), Refusal> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self.waiting.borrow_mut();
            waiting.retain(|waiter| !waiter.is_closed());
            if waiting.len() >= Self::MAX_WAITING {
                return Err(Refusal::QueueFull {
                    organisation: job.spec.organisation.clone(),
                    limit: Self::MAX_WAITING as u32,
                    retry_after_ms: Self::RETRY_MS,
                });
            }
            waiting.push_back(sender);
        }
        self.shared.metrics.urgent_waiting.inc();
        let left = Duration::from_millis(self.left_ms(job)).min(Self::LOOK_AROUND);
        // Woken or not, the request looks here and at other instances again.
        let _ = actix_rt::time::timeout(left, receiver).await;
        self.shared.metrics.urgent_waiting.dec();
        Ok(())
    }

    /// Returns how much of the deadline is left.
    pub(super) fn left_ms(&self, job: &UrgentJob) -> u64 {
        job.deadline_ms.saturating_sub(self.shared.clock.now_ms())
    }

    /// Returns the address of a worker, as the platform lists it.
    pub(super) fn address_of(&self, worker: &WorkerId) -> String {
        let listing = self.shared.published.listing();
        let listed = listing.workers.iter().find(|listed| listed.id == *worker);
        listed.map(|listed| listed.address.clone()).unwrap_or_default()
    }

    /// Takes the right to retry and pauses; `false` if budget or deadline do not allow it.
    pub(super) async fn may_retry(&self, job: &UrgentJob, tries: u32) -> bool {
        let pause = RetryBudget::pause(tries);
        if (pause.as_millis() as u64) >= self.left_ms(job) || !self.budget.borrow_mut().take(self.shared.clock.now_ms())
        {
            return false;
        }
        self.shared.metrics.urgent_retries.inc();
        actix_rt::time::sleep(pause).await;
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

    /// Arms the tick that writes the batch which has just begun.
    pub(super) fn arm_recorder(&self) {
        if let Some(address) = self.address.get() {
            let interval = Duration::from_millis(self.shared.settings.record_batch_interval_ms);
            self.timer
                .do_send(Subscribe::once(interval, address.clone().recipient()).topic(RECORD));
        }
    }
}

pub(super) const fn refused(refusal: Refusal) -> Outcome {
    Outcome::DidNotRun { refusal }
}
