use std::time::{Duration, Instant};

use futures_util::future::join_all;
use model::{Answer, Charge, JobId, JobRow};
use net::peer::FetchTimelineRequest;
use store::{Expected, StoreError, Table, Txn, Urgency};
use trace::Record;

use super::job_actor::{Core, ListJobs};
use super::row_outcome::{ReadAnswerError, outcome_of_row, read_answer};
use super::{Audit, JobPage, JobReply, JobStatus};
use crate::ApiError;
use crate::members::{PeerLinks, PeerStatus};

/// Time for which a cancellation waits for the outcome.
const CANCEL_WAIT: Duration = Duration::from_secs(3);
/// Timeout of reading a peer's timeline.
const TIMELINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of charges of one job in an audit.
const MAX_CHARGES: u32 = 1_000;
/// Time after which a caller may retry after a store failure.
const RETRY_AFTER_MS: u64 = 1_000;

/// Queries about jobs, and cancellation.
impl Core {
    async fn read_known(&self, job: &JobId) -> Result<(JobRow, u64), ApiError> {
        let row = self.read_row(job).await.map_err(|_| unavailable())?;
        row.ok_or_else(|| ApiError::UnknownJob { job: job.clone() })
    }

    pub(super) async fn status(&self, job: JobId) -> Result<JobStatus, ApiError> {
        Ok(self.read_known(&job).await?.0.into())
    }

    pub(super) async fn answer(&self, job: JobId) -> Result<Answer, ApiError> {
        let (row, _) = self.read_known(&job).await?;
        match read_answer(self.clients.store.as_ref(), &row).await {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => Err(ApiError::NoAnswer { job }),
            Err(ReadAnswerError::Unavailable) => Err(unavailable()),
            Err(ReadAnswerError::Damaged) => Err(ApiError::DamagedAnswer { job }),
        }
    }

    /// Cancels a job at its scheduler, or marks the row for the next scan of the scheduler.
    pub(super) async fn cancel(&self, job: JobId) -> Result<JobReply, ApiError> {
        let deadline = Instant::now() + CANCEL_WAIT;
        loop {
            let (row, version) = self.read_known(&job).await?;
            if let Some(outcome) = outcome_of_row(self.clients.store.as_ref(), &row).await
                && row.state.is_final()
            {
                return Ok(JobReply::new(job, outcome));
            }
            if row.cancel_requested || self.cancel_at_scheduler(&job, &row.data_centre).await {
                break;
            }
            let marked = JobRow {
                cancel_requested: true,
                ..row
            };
            let value = serde_json::to_value(&marked).map_err(|_| ApiError::Internal)?;
            let txn = Txn::new().put(marked.key(), Expected::Version(version), value);
            match self
                .clients
                .store
                .commit_resolved(&txn, Urgency::Job, CANCEL_WAIT)
                .await
            {
                Ok(_) => break,
                Err(StoreError::Conflict { .. }) if Instant::now() < deadline => {}
                Err(StoreError::Unknown) => return Err(ApiError::WriteUnknown),
                Err(_) => return Err(unavailable()),
            }
        }
        let outcome = self.wait_for_outcome(&job, deadline).await;
        Ok(JobReply::new(job, outcome))
    }

    pub(super) async fn list(&self, list: ListJobs) -> Result<JobPage, ApiError> {
        let prefix = match &list.organisation {
            Some(organisation) => format!("job/{organisation}/"),
            None => "job/".to_owned(),
        };
        let after = if list.after.is_empty() {
            String::new()
        } else {
            format!("job/{}", list.after)
        };
        let rows = self.clients.store.scan(&prefix, &after, list.limit).await;
        let rows = rows.map_err(|_| unavailable())?;
        let next_after = (rows.len() == list.limit as usize)
            .then(|| {
                rows.last()
                    .and_then(|row| row.key.strip_prefix("job/").map(ToOwned::to_owned))
            })
            .flatten();
        let jobs = rows
            .into_iter()
            .filter_map(|row| serde_json::from_value::<JobRow>(row.value).ok());
        Ok(JobPage {
            jobs: jobs.map(JobStatus::from).collect(),
            next_after,
        })
    }

    pub(super) async fn audit(&self, job: JobId) -> Result<Audit, ApiError> {
        let (row, _) = self.read_known(&job).await?;
        let prefix = format!("charge/{job}/");
        let charges = self.clients.store.scan(&prefix, "", MAX_CHARGES).await;
        let charges = charges.map_err(|_| unavailable())?;
        let mut charges: Vec<Charge> = charges
            .into_iter()
            .filter_map(|row| serde_json::from_value(row.value).ok())
            .collect();
        charges.sort_by_key(|charge| charge.attempt);
        Ok(Audit {
            job: row.into(),
            charges,
            events: self.events(&job).await,
        })
    }

    /// Collects the events of a job from all live instances.
    async fn events(&self, job: &JobId) -> Vec<Record> {
        let members = self.shared.published.members();
        let live = members.peers.iter().filter(|peer| peer.status == PeerStatus::Live);
        let reads = live.map(|peer| {
            let (links, instance) = (self.shared.links.clone(), peer.instance.clone());
            async move {
                let fetch = |mut client: net::peer::peer_client::PeerClient<_>| async move {
                    let request = FetchTimelineRequest { after_sequence: 0 };
                    client
                        .fetch_timeline(PeerLinks::request(request, TIMELINE_TIMEOUT))
                        .await
                };
                let reply = links.call(&instance, TIMELINE_TIMEOUT, fetch).await.ok()?;
                serde_json::from_slice::<Vec<Record>>(&reply.records_json).ok()
            }
        });
        let remote = join_all(reads).await.into_iter().flatten().flatten();
        let records = self.shared.timeline.after(0).into_iter().chain(remote);
        trace::merge(records.filter(|record| record.event.job.as_ref() == Some(job)))
    }
}

const fn unavailable() -> ApiError {
    ApiError::StoreUnavailable {
        retry_after_ms: RETRY_AFTER_MS,
    }
}
