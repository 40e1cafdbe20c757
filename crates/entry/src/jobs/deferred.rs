use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use model::{DataCentreId, InstanceId, JobId, JobRow, JobSpec, JobState, Outcome, Refusal};
use net::peer::{AwaitJobRequest, CancelJobRequest, SubmitJobRequest};
use serde_json::json;
use store::{Expected, Resolved, Row, StoreError, Table, Txn, Urgency};
use trace::{Event, EventKind};

use super::job_actor::Core;
use super::outcome_of_row;
use crate::ApiError;
use crate::members::PeerLinks;
use crate::scheduling::{Await, CancelJob, Submit, fits_empty, open_key};

/// Timeout of reading back the row of a new job after a lost reply.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of calls to the scheduler; after a failed submission its next scan finds the job.
const SCHEDULER_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum duration of one wait at the scheduler; afterwards the lease holder is looked up again.
const MAX_AWAIT: Duration = Duration::from_secs(5);
/// Pause between waits, as while no scheduler knows the job.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a caller who was refused for a temporary reason may retry.
const RETRY_AFTER_MS: u64 = 1_000;

/// Job whose row is durable.
struct DurableJob {
    row: JobRow,
    version: u64,
}

/// Deferred and multi-part jobs.
impl Core {
    /// Makes the job durable, submits it to the scheduler of its data centre and waits for the outcome.
    ///
    /// # Errors
    ///
    /// Returns a refusal if nothing was written, or the job exists with another body.
    pub(super) async fn submit_deferred(&self, spec: JobSpec, wait: Duration) -> Result<Outcome, ApiError> {
        let deadline = Instant::now() + wait;
        let data_centre = self.choose_data_centre(&spec)?;
        let job = spec.id();
        let row = JobRow::new(spec, data_centre, self.shared.clock.now_unix_ms());
        let Some(durable) = self.insert(row).await? else {
            return Ok(Outcome::Indeterminate);
        };
        if let Some(outcome) = outcome_of_row(self.clients.store.as_ref(), &durable.row).await
            && outcome != Outcome::Indeterminate
        {
            return Ok(outcome);
        }
        if durable.row.state == JobState::Queued {
            self.shared
                .timeline
                .push(Event::new(EventKind::RequestAccepted).job(job.clone()));
            self.submit_to_scheduler(&durable).await;
        }
        Ok(self.wait_for_outcome(&job, deadline).await)
    }

    /// Chooses the data centre: in service and large enough for the job, then by guarantee, free capacity and locality.
    fn choose_data_centre(&self, spec: &JobSpec) -> Result<DataCentreId, Refusal> {
        let published = &self.shared.published;
        let no_data_centre = Refusal::NoDataCentre {
            retry_after_ms: RETRY_AFTER_MS,
        };
        let Some(config) = published.config().effective.clone() else {
            return Err(no_data_centre);
        };
        let listing = published.listing();
        let topology = self.homes.topology(&config, &listing);
        let homes = self.homes.homes(&config, &listing);
        let need = spec.shape.accelerators();
        topology
            .data_centres
            .iter()
            .filter(|dc| config.is_in_service(&dc.id) && fits_empty(dc, spec))
            .max_by_key(|dc| {
                let free = self.free_accelerators(&dc.id);
                let is_scheduled = published.holder(&dc.id).is_some();
                let is_local = dc.id == self.shared.settings.data_centre;
                let is_admitted = homes.admits(spec, &dc.id);
                let is_home = homes.is_home(&spec.organisation, &dc.id);
                // If any data centre has the free capacity, the one with most is best. If none has, only the one that
                // provides the organisation's guaranteed shape can free capacity for the job.
                (is_scheduled, is_admitted, free >= need, is_home, free, is_local)
            })
            .map(|dc| dc.id.clone())
            .ok_or(no_data_centre)
    }

    fn free_accelerators(&self, data_centre: &DataCentreId) -> u32 {
        let published = &self.shared.published;
        if let Some(free) = published.free_accelerators.borrow().get(data_centre) {
            return *free;
        }
        let members = published.members();
        let holder = members
            .peers
            .iter()
            .find(|peer| peer.scheduler_of.as_ref().is_some_and(|(dc, _)| dc == data_centre));
        holder.map_or(0, |peer| peer.free_accelerators)
    }

    /// Inserts the row, or returns the row of an earlier equal request; `None` if the outcome of the write is unknown.
    async fn insert(&self, row: JobRow) -> Result<Option<DurableJob>, ApiError> {
        let mut row = row;
        let mut expected = Expected::Absent;
        loop {
            let value = serde_json::to_value(&row).map_err(|_| ApiError::Internal)?;
            let txn = Txn::new().put(row.key(), expected, value).put(
                open_key(&row.data_centre, &row.id()),
                Expected::Any,
                json!({}),
            );
            let current = match self
                .clients
                .store
                .commit_resolved(&txn, Urgency::Job, READ_BACK_TIMEOUT)
                .await
            {
                Ok(Resolved::Written { versions }) => {
                    let version = versions.first().copied().unwrap_or_default();
                    return Ok(Some(DurableJob { row, version }));
                }
                Ok(Resolved::Superseded { mut rows }) => rows.swap_remove(0),
                Err(StoreError::Conflict { current, .. }) => current,
                Err(StoreError::Unavailable | StoreError::Rejected { .. }) => {
                    let retry_after_ms = RETRY_AFTER_MS;
                    return Err(Refusal::StoreUnavailable { retry_after_ms }.into());
                }
                Err(StoreError::Unknown) => return Ok(None),
            };
            let Some((found, version)) = current.as_ref().and_then(parse) else {
                return Ok(None);
            };
            if found.digest != row.digest {
                let request_id = row.spec.request_id.clone();
                return Err(Refusal::RequestIdReused { request_id }.into());
            }
            if found.state != JobState::DidNotRun {
                return Ok(Some(DurableJob { row: found, version }));
            }
            // The earlier request certainly did not run, so the retry queues the job again.
            row = JobRow {
                attempts: found.attempts,
                ..row
            };
            expected = Expected::Version(version);
        }
    }

    /// Submits a new job to the scheduler. If this fails, the scheduler finds the row in its next scan.
    async fn submit_to_scheduler(&self, durable: &DurableJob) {
        let data_centre = &durable.row.data_centre;
        let Some(holder) = self.holder(data_centre) else { return };
        if holder == self.shared.settings.instance {
            if let Some(driver) = self.drivers.get(data_centre) {
                driver.do_send(Submit {
                    row: Box::new(durable.row.clone()),
                    version: durable.version,
                });
            }
            return;
        }
        let Ok(row_json) = serde_json::to_vec(&durable.row) else {
            return;
        };
        let request = SubmitJobRequest {
            row_json,
            row_version: durable.version,
        };
        let submit = |mut client: net::peer::peer_client::PeerClient<_>| async move {
            client
                .submit_job(PeerLinks::request(request, SCHEDULER_CALL_TIMEOUT))
                .await
        };
        let _ = self.shared.links.call(&holder, SCHEDULER_CALL_TIMEOUT, submit).await;
    }

    fn holder(&self, data_centre: &DataCentreId) -> Option<InstanceId> {
        self.shared.published.holder(data_centre).map(|holder| holder.instance)
    }

    /// Waits for a final outcome until `deadline`; returns the latest known outcome then.
    pub(super) async fn wait_for_outcome(&self, job: &JobId, deadline: Instant) -> Outcome {
        let mut latest = Outcome::InProgress;
        loop {
            let row = self.read_row(job).await;
            if let Ok(Some((row, _))) = &row {
                match outcome_of_row(self.clients.store.as_ref(), row).await {
                    Some(Outcome::Indeterminate) => latest = Outcome::Indeterminate,
                    Some(outcome) => return outcome,
                    None => latest = Outcome::InProgress,
                }
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return latest;
            }
            let data_centre = row.ok().flatten().map(|(row, _)| row.data_centre);
            match self
                .await_at_scheduler(job, data_centre.as_ref(), remaining.min(MAX_AWAIT))
                .await
            {
                Some(outcome) if is_final(&outcome) => return outcome,
                Some(Outcome::Indeterminate) => latest = Outcome::Indeterminate,
                _ => {}
            }
            sleep(RETRY_INTERVAL.min(deadline.saturating_duration_since(Instant::now()))).await;
        }
    }

    /// Waits at the scheduler of the job's data centre; `None` if it does not know the job or does not answer.
    async fn await_at_scheduler(
        &self,
        job: &JobId,
        data_centre: Option<&DataCentreId>,
        wait: Duration,
    ) -> Option<Outcome> {
        let data_centre = data_centre?;
        let holder = self.holder(data_centre)?;
        if holder == self.shared.settings.instance {
            let job = job.clone();
            return self.drivers.get(data_centre)?.send(Await { job, wait }).await.ok()?;
        }
        let request = AwaitJobRequest {
            job: job.to_string(),
            wait_ms: wait.as_millis() as u64,
        };
        let timeout = wait + SCHEDULER_CALL_TIMEOUT;
        let await_job = |mut client: net::peer::peer_client::PeerClient<_>| async move {
            client.await_job(PeerLinks::request(request, timeout)).await
        };
        let reply = self.shared.links.call(&holder, timeout, await_job).await.ok()?;
        serde_json::from_slice(&reply.outcome_json).ok().filter(|_| reply.known)
    }

    /// Cancels a job at its scheduler; `false` if it does not know the job or does not answer.
    pub(super) async fn cancel_at_scheduler(&self, job: &JobId, data_centre: &DataCentreId) -> bool {
        let Some(holder) = self.holder(data_centre) else {
            return false;
        };
        if holder == self.shared.settings.instance {
            return match self.drivers.get(data_centre) {
                Some(driver) => driver.send(CancelJob(job.clone())).await.unwrap_or(false),
                None => false,
            };
        }
        let request = CancelJobRequest { job: job.to_string() };
        let cancel = |mut client: net::peer::peer_client::PeerClient<_>| async move {
            client
                .cancel_job(PeerLinks::request(request, SCHEDULER_CALL_TIMEOUT))
                .await
        };
        let reply = self.shared.links.call(&holder, SCHEDULER_CALL_TIMEOUT, cancel).await;
        reply.is_ok_and(|reply| reply.known)
    }

    /// Reads the row of a job with its version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not answer.
    pub(super) async fn read_row(&self, job: &JobId) -> Result<Option<(JobRow, u64)>, StoreError> {
        let row = self.clients.store.read(&JobRow::key_of(job)).await?;
        Ok(row.as_ref().and_then(parse))
    }
}

fn parse(row: &Row) -> Option<(JobRow, u64)> {
    Some((serde_json::from_value(row.value.clone()).ok()?, row.version))
}

const fn is_final(outcome: &Outcome) -> bool {
    !matches!(outcome, Outcome::InProgress | Outcome::Indeterminate)
}
