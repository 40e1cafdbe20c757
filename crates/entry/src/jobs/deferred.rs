use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use model::{DataCentreId, InstanceId, JobId, JobRow, JobSpec, JobState, Outcome, Refusal};
use net::peer::{AwaitJobRequest, CancelJobRequest, SubmitJobRequest};
use serde_json::json;
use store::{Expected, Resolved, Row, StoreError, Table, Txn, Urgency};
use trace::{Event, EventKind};

use super::intake::Core;
use super::outcome_of_row;
use crate::ApiError;
use crate::members::PeerLinks;
use crate::scheduling::{Await, CancelJob, Submit, fits_empty, open_key};

/// Bound of reading back the row of a new job.
const READ_BACK: Duration = Duration::from_secs(4);
/// Bound of handing a job over; the scheduler finds it in its next scan anyway.
const HAND_OVER: Duration = Duration::from_secs(1);
/// Longest single question to the scheduler; after it the holder is looked up again.
const SLICE: Duration = Duration::from_secs(5);
/// Pause while no scheduler knows the job.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// When a caller who was refused for a passing reason may retry.
const RETRY_MS: u64 = 1_000;

/// Job whose row is durable.
struct Durable {
    row: JobRow,
    version: u64,
}

/// Deferred and multi-part jobs.
impl Core {
    /// Makes the job durable, hands it to its data centre's scheduler and waits for the outcome.
    ///
    /// # Errors
    ///
    /// Returns a refusal if nothing was written, or the job exists with another body.
    pub(super) async fn submit_deferred(&self, spec: JobSpec, wait: Duration) -> Result<Outcome, ApiError> {
        let until = Instant::now() + wait;
        let data_centre = self.choose(&spec)?;
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
                .journal
                .push(Event::new(EventKind::RequestAccepted).job(job.clone()));
            self.hand_over(&durable).await;
        }
        Ok(self.wait_for(&job, until).await)
    }

    /// Chooses the data centre: in service, able to hold the job, then by guarantee, free capacity and nearness.
    fn choose(&self, spec: &JobSpec) -> Result<DataCentreId, Refusal> {
        let board = &self.shared.board;
        let none = Refusal::NoDataCentre {
            retry_after_ms: RETRY_MS,
        };
        let Some(config) = board.config().effective.clone() else {
            return Err(none);
        };
        let listing = board.listing();
        let topology = self.homes.topology(&config, &listing);
        let homes = self.homes.homes(&config, &listing);
        let need = spec.shape.accelerators();
        topology
            .data_centres
            .iter()
            .filter(|dc| config.is_in_service(&dc.id) && fits_empty(dc, spec))
            .max_by_key(|dc| {
                let free = self.free_accelerators(&dc.id);
                let is_scheduled = board.holder(&dc.id).is_some();
                let is_local = dc.id == self.shared.settings.data_centre;
                let is_admitted = homes.admits(spec, &dc.id);
                let is_home = homes.is_home(&spec.organisation, &dc.id);
                // With room for the job anywhere, the most free data centre is best. Without, only the one that provides
                // the owner's guaranteed shape can make room.
                (is_scheduled, is_admitted, free >= need, is_home, free, is_local)
            })
            .map(|dc| dc.id.clone())
            .ok_or(none)
    }

    fn free_accelerators(&self, data_centre: &DataCentreId) -> u32 {
        let board = &self.shared.board;
        if let Some(free) = board.free_accelerators.borrow().get(data_centre) {
            return *free;
        }
        let members = board.members();
        let holder = members
            .peers
            .iter()
            .find(|peer| peer.scheduler_of.as_ref().is_some_and(|(dc, _)| dc == data_centre));
        holder.map_or(0, |peer| peer.free_accelerators)
    }

    /// Inserts the row, or finds the job that the caller submitted before; `None` if the outcome is unknown.
    async fn insert(&self, row: JobRow) -> Result<Option<Durable>, ApiError> {
        let mut row = row;
        let mut expected = Expected::Absent;
        loop {
            let value = serde_json::to_value(&row).map_err(|_| ApiError::Internal)?;
            let txn = Txn::new().put(row.key(), expected, value).put(
                open_key(&row.data_centre, &row.id()),
                Expected::Any,
                json!({}),
            );
            let current = match self.clients.store.commit_resolved(&txn, Urgency::Job, READ_BACK).await {
                Ok(Resolved::Written { versions }) => {
                    let version = versions.first().copied().unwrap_or_default();
                    return Ok(Some(Durable { row, version }));
                }
                Ok(Resolved::Superseded { mut rows }) => rows.swap_remove(0),
                Err(StoreError::Conflict { current, .. }) => current,
                Err(StoreError::Unavailable | StoreError::Rejected { .. }) => {
                    let retry_after_ms = RETRY_MS;
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
                return Ok(Some(Durable { row: found, version }));
            }
            // Proven not to have run, so the caller's retry queues it again.
            row = JobRow {
                attempts: found.attempts,
                ..row
            };
            expected = Expected::Version(version);
        }
    }

    /// Tells the scheduler of a new job. If this fails, the scheduler's own scan finds the row.
    async fn hand_over(&self, durable: &Durable) {
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
            client.submit_job(PeerLinks::request(request, HAND_OVER)).await
        };
        let _ = self.shared.links.call(&holder, HAND_OVER, submit).await;
    }

    fn holder(&self, data_centre: &DataCentreId) -> Option<InstanceId> {
        self.shared.board.holder(data_centre).map(|holder| holder.instance)
    }

    /// Waits for a final outcome until the caller's time is over.
    pub(super) async fn wait_for(&self, job: &JobId, until: Instant) -> Outcome {
        let mut latest = Outcome::InProgress;
        loop {
            let row = self.read(job).await;
            if let Ok(Some((row, _))) = &row {
                match outcome_of_row(self.clients.store.as_ref(), row).await {
                    Some(Outcome::Indeterminate) => latest = Outcome::Indeterminate,
                    Some(outcome) => return outcome,
                    None => latest = Outcome::InProgress,
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return latest;
            }
            let data_centre = row.ok().flatten().map(|(row, _)| row.data_centre);
            match self.ask_scheduler(job, data_centre.as_ref(), left.min(SLICE)).await {
                Some(outcome) if is_final(&outcome) => return outcome,
                Some(Outcome::Indeterminate) => latest = Outcome::Indeterminate,
                _ => {}
            }
            sleep(LOOK_AGAIN.min(until.saturating_duration_since(Instant::now()))).await;
        }
    }

    /// Asks the scheduler of the job's data centre; `None` if it does not know the job or does not answer.
    async fn ask_scheduler(&self, job: &JobId, data_centre: Option<&DataCentreId>, wait: Duration) -> Option<Outcome> {
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
        let limit = wait + HAND_OVER;
        let ask = |mut client: net::peer::peer_client::PeerClient<_>| async move {
            client.await_job(PeerLinks::request(request, limit)).await
        };
        let reply = self.shared.links.call(&holder, limit, ask).await.ok()?;
        serde_json::from_slice(&reply.outcome_json).ok().filter(|_| reply.known)
    }

    /// Asks the scheduler to cancel a job; `false` if it does not know the job or does not answer.
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
            client.cancel_job(PeerLinks::request(request, HAND_OVER)).await
        };
        let reply = self.shared.links.call(&holder, HAND_OVER, cancel).await;
        reply.is_ok_and(|reply| reply.known)
    }

    /// Reads the row of a job with its version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not answer.
    pub(super) async fn read(&self, job: &JobId) -> Result<Option<(JobRow, u64)>, StoreError> {
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
