//! The callers' view of an instance.

mod admission;
mod job_request;
mod refused;
mod submission;

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use admission::Allowed;
use domain::{Job, JobState, Progress, Route};
pub use job_request::JobRequest;
pub use refused::Refused;
pub use submission::Submission;
use submission::check;

use crate::clock::{boot_ms, unix_ms};
use crate::ports::{Condition, OwnRow, Place, Store, StoreError, Txn, TxnError};
use crate::rows::{JOBS, PENDING, PROGRESS, cancel_key, get, put};
use crate::shared::SharedRef;

/// Answer to a submission.
pub type SubmitReply = Result<(), Refused>;

/// Answer to a cancellation.
pub type CancelReply = Result<(), Refused>;

/// Caller's view of an instance: accepts, shows and cancels jobs.
#[derive(Debug)]
pub struct Desk<S, W> {
    shared: SharedRef<S, W>,
}

impl<S, W> Clone for Desk<S, W> {
    fn clone(&self) -> Self {
        Self {
            shared: Rc::clone(&self.shared),
        }
    }
}

/// Call that is not answered yet.
#[derive(Debug)]
pub struct OpenCall(Rc<std::cell::Cell<u64>>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl<S: Store, W: 'static> Desk<S, W> {
    /// Time for a call whose caller names none and whose queue has no limit.
    const DEFAULT_BUDGET_MS: u64 = 3_000;

    /// Part of the caller's time that is kept for the way back.
    const REPLY_MARGIN_MS: u64 = 100;

    /// Pause between two tries of a call to the store.
    const RETRY_PAUSE: Duration = Duration::from_millis(40);

    /// Tries of a call that the store refuses outright.
    const REFUSED_TRIES: u32 = 3;

    pub(crate) fn new(shared: SharedRef<S, W>) -> Self {
        Self { shared }
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let view = self.shared.view.borrow();
        !view.is_stopping && view.config.is_some() && !self.shared.is_store_lost() && self.is_config_checked()
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

    /// Returns the largest request body, from the configuration.
    pub fn max_body_bytes(&self) -> Option<u64> {
        let view = self.shared.view.borrow();
        view.config
            .as_ref()
            .map(|config| config.max_body_bytes)
            .filter(|bytes| *bytes > 0)
    }

    /// Returns the metrics of the instance.
    pub fn metrics(&self) -> &crate::Metrics {
        &self.shared.metrics
    }

    /// Accepts a job. On success the job is durable and will run.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`]; only [`Refused::InDoubt`] leaves open whether the job was accepted.
    pub async fn submit(&self, request: &JobRequest, submission: &Submission) -> SubmitReply {
        let began_ms = boot_ms();
        let mut is_in_doubt = false;
        let mut refused = 0;
        loop {
            let allowed = match self.allowed_now(request) {
                Ok(allowed) => allowed,
                Err(_) if is_in_doubt => return Err(Refused::InDoubt),
                Err(refusal) => return Err(refusal),
            };
            check(submission, &allowed.id)?;
            if self.shared.is_store_lost() || boot_ms() >= began_ms + Self::budget_ms(request, &allowed.route) {
                return Err(if is_in_doubt {
                    Refused::InDoubt
                } else {
                    Refused::StoreUnavailable
                });
            }
            let txn = self.insertion(&allowed, submission);
            let bytes_max = self.shared.settings.value_bytes_max();
            if txn.puts.iter().any(|put| put.value.len() > bytes_max) {
                return Err(Refused::Invalid("the job is larger than a row of the store"));
            }
            match self.transact(&txn).await {
                Ok(version) => {
                    spdlog::info!("job_accepted", kv: {
                        job = allowed.id.as_str(), route = allowed.route.name.as_str(),
                        organisation = allowed.organisation.as_str(), version,
                        config = allowed.config.version, ms = boot_ms().saturating_sub(began_ms)
                    });
                    return Ok(());
                }
                Err(TxnError::Conflict(rows)) => {
                    // The only condition is that the id is new.
                    return Self::existing(&allowed, &rows).unwrap_or(Err(Refused::InDoubt));
                }
                Err(TxnError::NotDone(_)) => {
                    refused += 1;
                    if refused >= Self::REFUSED_TRIES && !is_in_doubt {
                        return Err(Refused::StoreUnavailable);
                    }
                    sleep(Self::RETRY_PAUSE).await;
                }
                Err(TxnError::Unknown) => {
                    is_in_doubt = true;
                    sleep(Self::RETRY_PAUSE).await;
                }
            }
        }
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

    /// Returns the number of jobs of a queue of which no task has started.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`].
    pub async fn pending(&self, request: &JobRequest) -> Result<u64, Refused> {
        let allowed = self.allowed_now(request)?;
        let name = &allowed.route.name;
        let place = self.shared.parts.of_holder(PENDING);
        let page = self.read(request, &allowed.route, &place, name).await?;
        self.allowed_now(request)?;
        let row = page.items.iter().find(|row| row.key == *name);
        Ok(row.and_then(get::<u64>).unwrap_or(0))
    }

    /// Cancels a job. On success the wish is durable; a job that is final stays as it is.
    ///
    /// # Errors
    ///
    /// Returns [`Refused`]; [`Refused::InDoubt`] leaves open whether the job will be cancelled.
    pub async fn cancel(&self, request: &JobRequest) -> CancelReply {
        let began_ms = boot_ms();
        let (allowed, progress) = self.find(request).await?;
        if progress.state.is_final() {
            return Ok(());
        }
        let place = self.shared.parts.of_job(JOBS, &allowed.id);
        let mut is_in_doubt = false;
        loop {
            self.allowed_now(request)?;
            if boot_ms() >= began_ms + Self::budget_ms(request, &allowed.route) || self.shared.is_store_lost() {
                return Err(if is_in_doubt {
                    Refused::InDoubt
                } else {
                    Refused::StoreUnavailable
                });
            }
            let txn = Txn {
                puts: vec![put(place.clone(), cancel_key(&allowed.id), &unix_ms())],
                ..Txn::default()
            };
            match self.transact(&txn).await {
                Ok(version) => {
                    spdlog::info!("cancel_accepted", kv: { job = allowed.id.as_str(), version });
                    return Ok(());
                }
                Err(TxnError::Conflict(_) | TxnError::NotDone(_)) => sleep(Self::RETRY_PAUSE).await,
                Err(TxnError::Unknown) => {
                    is_in_doubt = true;
                    sleep(Self::RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Finds the job of a call.
    async fn find(&self, request: &JobRequest) -> Result<(Allowed, Progress), Refused> {
        let allowed = self.allowed_now(request)?;
        let place = self.shared.parts.of_job(PROGRESS, &allowed.id);
        let page = self.read(request, &allowed.route, &place, &allowed.id).await?;
        // The key may have been revoked while the store was asked.
        let allowed = self.allowed_now(request)?;
        let row = page.items.iter().find(|row| row.key == allowed.id);
        let Some(row) = row else {
            return Err(Refused::UnknownJob);
        };
        let Some(progress) = get::<Progress>(row) else {
            return Err(Refused::StoreUnavailable);
        };
        let is_own = progress.organisation == allowed.organisation || allowed.route.is_public;
        if progress.route != allowed.route.name || !is_own {
            return Err(Refused::UnknownJob);
        }
        Ok((allowed, progress))
    }

    async fn read(
        &self,
        request: &JobRequest,
        route: &Route,
        place: &Place,
        key: &str,
    ) -> Result<crate::RowsPage, Refused> {
        // The first key after this one: no key continues it with a character below `!`.
        let to = format!("{key}!");
        let until_ms = boot_ms() + Self::budget_ms(request, route);
        loop {
            if self.shared.is_store_lost() {
                return Err(Refused::StoreUnavailable);
            }
            let result = tokio::select! {
                result = self.shared.read(place, key, &to) => result,
                () = self.shared.store_lost() => Err(StoreError::NoReply),
            };
            match result {
                Ok(page) => return Ok(page),
                Err(_) if boot_ms() >= until_ms => return Err(Refused::StoreUnavailable),
                Err(_) => sleep(Self::RETRY_PAUSE).await,
            }
        }
    }

    /// Commits a transaction; gives up waiting once the store counts as lost.
    async fn transact(&self, txn: &Txn) -> Result<u64, TxnError> {
        tokio::select! {
            result = self.shared.transact(txn) => result,
            () = self.shared.store_lost() => Err(TxnError::Unknown),
        }
    }

    fn budget_ms(request: &JobRequest, route: &Route) -> u64 {
        let limit = |limit_ms: u64| {
            if limit_ms == 0 {
                Self::DEFAULT_BUDGET_MS
            } else {
                limit_ms
            }
        };
        let budget_ms = request
            .deadline_ms
            .map_or(Self::DEFAULT_BUDGET_MS, limit)
            .min(limit(route.timeout_ms));
        budget_ms.saturating_sub(Self::REPLY_MARGIN_MS)
    }

    /// Builds the insertion of a job: it takes effect only if the id is new. The epoch that the job names exists, so an
    /// older scheduler leaves the job alone.
    fn insertion(&self, allowed: &Allowed, submission: &Submission) -> Txn {
        let view = self.shared.view.borrow();
        let route = &allowed.route;
        let job = Job {
            id: allowed.id.clone(),
            route: route.name.clone(),
            service: route.service.clone(),
            organisation: allowed.organisation.clone(),
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
            organisation: allowed.organisation.clone(),
            ..Progress::default()
        };
        let id = &allowed.id;
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

    /// Answers a repeated submission from the row that exists.
    fn existing(allowed: &Allowed, rows: &[OwnRow]) -> Option<SubmitReply> {
        let row = rows.iter().find(|row| row.table == JOBS && row.key == allowed.id)?;
        let job: Job = get(row)?;
        let is_same = job.route == allowed.route.name && job.organisation == allowed.organisation;
        Some(if is_same { Ok(()) } else { Err(Refused::IdInUse) })
    }
}
