//! Handling of callers' requests.

mod admission;
mod job_request;
mod refused;
mod submission;

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use admission::AdmittedRequest;
use domain::{Config, Job, JobState, Progress, Route};
pub use job_request::JobRequest;
pub use refused::Refused;
pub use submission::Submission;
use submission::{check, exceeds_maximum};

use crate::clock::{boot_ms, unix_ms};
use crate::ports::{Condition, OwnRow, Place, Store, StoreError, Txn, TxnError};
use crate::rows::{JOBS, PENDING, PROGRESS, cancel_key, decode, put};
use crate::shared::SharedRef;

/// Result of a submission.
pub type SubmitReply = Result<(), Refused>;

/// Result of a cancellation.
pub type CancelReply = Result<(), Refused>;

/// Handles callers' requests: submits jobs, returns their state and cancels them.
#[derive(Debug)]
pub struct RequestHandler<S, W> {
    shared: SharedRef<S, W>,
}

impl<S, W> Clone for RequestHandler<S, W> {
    fn clone(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
        }
    }
}

/// Guard of a call that has not been answered yet; counts it as open until dropped.
#[derive(Debug)]
pub struct OpenCall(Rc<std::cell::Cell<u64>>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl<S: Store, W: 'static> RequestHandler<S, W> {
    /// Default for the caller's deadline and for the queue's time-out.
    const DEFAULT_DEADLINE_MS: u64 = 3_000;

    /// Part of the deadline reserved for returning the reply.
    const REPLY_MARGIN_MS: u64 = 100;

    /// Delay before a call to the store is retried.
    const RETRY_INTERVAL: Duration = Duration::from_millis(40);

    /// Maximum tries of a write that the store refuses.
    const MAX_REFUSED_TRIES: u32 = 3;

    pub(crate) fn new(shared: SharedRef<S, W>) -> Self {
        Self { shared }
    }

    /// Returns whether the instance is ready for callers' requests.
    pub fn is_ready(&self) -> bool {
        let view = self.shared.view.borrow();
        !view.is_stopping && view.config.is_some() && !self.shared.is_store_unresponsive() && self.is_config_fresh()
    }

    /// Returns whether the instance is being stopped.
    pub fn is_stopping(&self) -> bool {
        self.shared.view.borrow().is_stopping
    }

    /// Counts a call as open until the returned value is dropped.
    pub fn open_call(&self) -> OpenCall {
        self.shared.open_calls.set(self.shared.open_calls.get() + 1);
        OpenCall(Rc::clone(&self.shared.open_calls))
    }

    /// Returns the number of open calls.
    pub fn open_calls(&self) -> u64 {
        self.shared.open_calls.get()
    }

    /// Returns the configuration in force, which has the limits on requests.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.shared.view.borrow().config.clone()
    }

    /// Checks queue and key of a request before its body is read.
    ///
    /// # Errors
    ///
    /// Returns the [`Refused`] that the request would get with any body.
    pub fn check(&self, request: &JobRequest) -> Result<(), Refused> {
        self.admit_now(request).map(drop)
    }

    /// Returns the metrics of the instance.
    pub fn metrics(&self) -> &crate::Metrics {
        &self.shared.metrics
    }

    /// Submits a job. On success the job is durable and will run.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`]; after [`Refused::InDoubt`] alone the job may have been accepted.
    pub async fn submit(&self, request: &JobRequest, submission: &Submission) -> SubmitReply {
        let began_ms = boot_ms();
        let mut is_in_doubt = false;
        let mut refused_tries = 0;
        loop {
            let admitted = match self.admit_now(request) {
                Ok(admitted) => admitted,
                Err(_) if is_in_doubt => return Err(Refused::InDoubt),
                Err(refusal) => return Err(refusal),
            };
            check(submission, &admitted.id)?;
            if exceeds_maximum(submission, &admitted) {
                return self.refuse_too_large(request, is_in_doubt).await;
            }
            if self.shared.is_store_unresponsive() || boot_ms() >= began_ms + Self::budget_ms(request, &admitted.route)
            {
                return Err(if is_in_doubt {
                    Refused::InDoubt
                } else {
                    Refused::StoreUnavailable
                });
            }
            let txn = self.insert_txn(&admitted, submission);
            let bytes_max = self.shared.settings.limits.value_bytes_max;
            if txn.puts.iter().any(|put| put.value.len() > bytes_max) {
                return Err(Refused::Invalid("the job is larger than a row of the store"));
            }
            match self.transact(&txn).await {
                Ok(version) => {
                    spdlog::info!("job_accepted", kv: {
                        job = admitted.id.as_str(), route = admitted.route.name.as_str(),
                        organisation = admitted.organisation.as_str(), version,
                        config = admitted.config.version, ms = boot_ms().saturating_sub(began_ms)
                    });
                    return Ok(());
                }
                Err(TxnError::Conflict(rows)) => {
                    // The only condition of the transaction is that the id is new.
                    return Self::reply_for_existing(&admitted, &rows).unwrap_or(Err(Refused::InDoubt));
                }
                Err(TxnError::NotDone(_)) => {
                    refused_tries += 1;
                    if refused_tries >= Self::MAX_REFUSED_TRIES && !is_in_doubt {
                        return Err(Refused::StoreUnavailable);
                    }
                    sleep(Self::RETRY_INTERVAL).await;
                }
                Err(TxnError::Unknown) => {
                    is_in_doubt = true;
                    sleep(Self::RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Refuses a job that can never run. A repeated submission of one that was accepted before the maximum was lowered is
    /// still confirmed, and one that may have been accepted is not refused.
    async fn refuse_too_large(&self, request: &JobRequest, is_in_doubt: bool) -> SubmitReply {
        match self.find(request).await {
            Ok(_) => Ok(()),
            Err(_) if is_in_doubt => Err(Refused::InDoubt),
            Err(Refused::UnknownJob) => Err(Refused::OverMaximum),
            Err(refusal) => Err(refusal),
        }
    }

    /// Returns after how many seconds a refused caller should come back.
    ///
    /// Callers try a limited number of times. An outage that has lasted for some time will probably last as long again,
    /// so its length is the pause that still lets them through after it.
    pub fn retry_after_s(&self) -> u64 {
        const MAX_S: u64 = 3;
        let failing_since_ms = self.shared.view.borrow().store_failing_since_ms;
        let outage_ms = failing_since_ms.map_or(0, |since_ms| boot_ms().saturating_sub(since_ms));
        (outage_ms / 1_000).clamp(1, MAX_S)
    }

    /// Returns the state of a job.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`].
    pub async fn state(&self, request: &JobRequest) -> Result<JobState, Refused> {
        let (_, progress) = self.find(request).await?;
        Ok(progress.state)
    }

    /// Returns the number of jobs in a queue of which no task has started.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`].
    pub async fn pending(&self, request: &JobRequest) -> Result<u64, Refused> {
        let admitted = self.admit_now(request)?;
        let name = &admitted.route.name;
        let place = self.shared.parts.of_lease_holder(PENDING);
        let page = self.read(request, &admitted.route, &place, name).await?;
        self.admit_now(request)?;
        let row = page.items.iter().find(|row| row.key == *name);
        Ok(row.and_then(decode::<u64>).unwrap_or(0))
    }

    /// Cancels a job. On success the cancellation request is durable; a finished job is not changed.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`]; after [`Refused::InDoubt`] the job may still be cancelled.
    pub async fn cancel(&self, request: &JobRequest) -> CancelReply {
        let began_ms = boot_ms();
        let (admitted, progress) = self.find(request).await?;
        if progress.state.is_final() {
            return Ok(());
        }
        let place = self.shared.parts.of_job(JOBS, &admitted.id);
        let mut is_in_doubt = false;
        loop {
            self.admit_now(request)?;
            if boot_ms() >= began_ms + Self::budget_ms(request, &admitted.route) || self.shared.is_store_unresponsive()
            {
                return Err(if is_in_doubt {
                    Refused::InDoubt
                } else {
                    Refused::StoreUnavailable
                });
            }
            let txn = Txn {
                puts: vec![put(place.clone(), cancel_key(&admitted.id), &unix_ms())],
                ..Txn::default()
            };
            match self.transact(&txn).await {
                Ok(version) => {
                    spdlog::info!("cancel_accepted", kv: { job = admitted.id.as_str(), version });
                    return Ok(());
                }
                Err(TxnError::Conflict(_) | TxnError::NotDone(_)) => sleep(Self::RETRY_INTERVAL).await,
                Err(TxnError::Unknown) => {
                    is_in_doubt = true;
                    sleep(Self::RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Reads the progress of the job that a call names.
    async fn find(&self, request: &JobRequest) -> Result<(AdmittedRequest, Progress), Refused> {
        let admitted = self.admit_now(request)?;
        let place = self.shared.parts.of_job(PROGRESS, &admitted.id);
        let page = self.read(request, &admitted.route, &place, &admitted.id).await?;
        // The key may have been revoked while the read was in flight.
        let admitted = self.admit_now(request)?;
        let row = page.items.iter().find(|row| row.key == admitted.id);
        let Some(row) = row else {
            return Err(Refused::UnknownJob);
        };
        let Some(progress) = decode::<Progress>(row) else {
            return Err(Refused::StoreUnavailable);
        };
        let is_own = progress.organisation == admitted.organisation || admitted.route.is_public;
        if progress.route != admitted.route.name || !is_own {
            return Err(Refused::UnknownJob);
        }
        Ok((admitted, progress))
    }

    async fn read(
        &self,
        request: &JobRequest,
        route: &Route,
        place: &Place,
        key: &str,
    ) -> Result<crate::RowsPage, Refused> {
        // Exclusive end of a range with this key alone: no key continues it with a character below `!`.
        let to = format!("{key}!");
        let give_up_ms = boot_ms() + Self::budget_ms(request, route);
        loop {
            if self.shared.is_store_unresponsive() {
                return Err(Refused::StoreUnavailable);
            }
            let result = tokio::select! {
                result = self.shared.read(place, key, &to) => result,
                () = self.shared.store_unresponsive() => Err(StoreError::NoReply),
            };
            match result {
                Ok(page) => return Ok(page),
                Err(_) if boot_ms() >= give_up_ms => return Err(Refused::StoreUnavailable),
                Err(_) => sleep(Self::RETRY_INTERVAL).await,
            }
        }
    }

    /// Commits a transaction; stops waiting for the reply once the store counts as unresponsive.
    async fn transact(&self, txn: &Txn) -> Result<u64, TxnError> {
        tokio::select! {
            result = self.shared.transact(txn) => result,
            () = self.shared.store_unresponsive() => Err(TxnError::Unknown),
        }
    }

    fn budget_ms(request: &JobRequest, route: &Route) -> u64 {
        let limit = |limit_ms: u64| {
            if limit_ms == 0 {
                Self::DEFAULT_DEADLINE_MS
            } else {
                limit_ms
            }
        };
        let budget_ms = request
            .deadline_ms
            .map_or(Self::DEFAULT_DEADLINE_MS, limit)
            .min(limit(route.timeout_ms));
        budget_ms.saturating_sub(Self::REPLY_MARGIN_MS)
    }

    /// Builds the transaction that inserts a job if its id is new. The job carries the newest epoch known here; a
    /// scheduler of an older epoch does not handle it.
    fn insert_txn(&self, admitted: &AdmittedRequest, submission: &Submission) -> Txn {
        let view = self.shared.view.borrow();
        let route = &admitted.route;
        let job = Job {
            id: admitted.id.clone(),
            route: route.name.clone(),
            service: route.service.clone(),
            organisation: admitted.organisation.clone(),
            priority: route.priority,
            attempts: route.attempts.max(1),
            objective_factor: route.objective_factor,
            objective_ms: route.objective_ms,
            spec: submission.spec.clone(),
            steps: submission.steps.clone(),
            times: submission.times,
            first_run_unix_ms: submission.first_run_unix_ms,
            interval_ms: submission.interval_ms,
            accept_epoch: view.epoch,
            accepted_unix_ms: unix_ms(),
        };
        let progress = Progress {
            route: route.name.clone(),
            organisation: admitted.organisation.clone(),
            ..Progress::default()
        };
        let id = &admitted.id;
        Txn {
            conditions: vec![Condition {
                place: self.shared.parts.of_job(JOBS, id),
                key: id.clone(),
                version: 0,
            }],
            puts: vec![
                put(self.shared.parts.of_job(JOBS, id), id.clone(), &job),
                put(self.shared.parts.of_job(PROGRESS, id), id.clone(), &progress),
            ],
            ..Txn::default()
        }
    }

    /// Returns the reply to a repeated submission, from the row that exists.
    fn reply_for_existing(admitted: &AdmittedRequest, rows: &[OwnRow]) -> Option<SubmitReply> {
        let row = rows.iter().find(|row| row.table == JOBS && row.key == admitted.id)?;
        let job: Job = decode(row)?;
        let is_same = job.route == admitted.route.name && job.organisation == admitted.organisation;
        Some(if is_same { Ok(()) } else { Err(Refused::IdInUse) })
    }
}
