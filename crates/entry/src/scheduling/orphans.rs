use std::future::Future;

use model::{DataCentreId, InstanceId, JobId, JobRow, JobState, TaskId};
use serde::Deserialize;
use store::{Expected, Row, Table, Txn, Urgency};

use super::job_write::JobWrite;
use crate::context::{Clients, Context as Shared};
use crate::members::PeerStatus;
use crate::urgent::{AttemptResult, ProbeResult, apply_result, probe_task, urgent_prefix};

/// Resolves urgent non-idempotent attempts whose instance died before it wrote their final state.
///
/// The scheduling lease holder scans the index of open attempts and queries the workers. It revokes a lease without its
/// task, so that an instance that was only paused cannot start the task afterwards.
#[derive(Debug)]
pub(super) struct OrphanResolver {
    shared: Shared,
    clients: Clients,
    data_centre: DataCentreId,
    busy: bool,
}

/// Value of an index row: the instance that opened the attempt.
#[derive(Debug, Deserialize)]
struct Owner {
    instance: InstanceId,
    started_unix_ms: u64,
}

/// Index rows processed in one round.
const PAGE_SIZE: u32 = 200;
/// Retry delay for a caller whose request provably did not start.
const RETRY_AFTER_MS: u64 = 500;

impl OrphanResolver {
    pub(super) fn new(shared: Shared, clients: Clients, data_centre: DataCentreId) -> Self {
        Self {
            shared,
            clients,
            data_centre,
            busy: false,
        }
    }

    /// Starts a round, unless one is in progress.
    pub(super) fn resolve(&mut self) -> Option<impl Future<Output = ()> + use<>> {
        if self.busy || !self.shared.published.is_store_reachable() {
            return None;
        }
        self.busy = true;
        let round = Round {
            shared: self.shared.clone(),
            clients: self.clients.clone(),
            data_centre: self.data_centre.clone(),
        };
        Some(async move { round.run().await })
    }

    pub(super) const fn done(&mut self) {
        self.busy = false;
    }
}

struct Round {
    shared: Shared,
    clients: Clients,
    data_centre: DataCentreId,
}

impl Round {
    async fn run(&self) {
        let prefix = urgent_prefix(&self.data_centre);
        let Ok(page) = self.clients.store.scan(&prefix, "", PAGE_SIZE).await else {
            return;
        };
        for index in page {
            let job = index
                .key
                .strip_prefix(&prefix)
                .and_then(|text| text.parse::<JobId>().ok());
            let owner = serde_json::from_value::<Owner>(index.value.clone()).ok();
            if let (Some(job), Some(owner)) = (job, owner)
                && self.is_owner_dead(&owner)
            {
                self.resolve_attempt(&job, &index).await;
            }
        }
    }

    /// Returns whether the instance is not live or has been restarted since.
    ///
    /// A suspect instance counts as dead: its grants expire soon, and after that they prove nothing about the task.
    fn is_owner_dead(&self, owner: &Owner) -> bool {
        if owner.instance == self.shared.settings.instance {
            return owner.started_unix_ms != self.shared.clock.started_unix_ms();
        }
        let members = self.shared.published.members();
        members
            .peer(&owner.instance)
            .is_none_or(|peer| peer.status != PeerStatus::Live || peer.started_unix_ms > owner.started_unix_ms)
    }

    async fn resolve_attempt(&self, job: &JobId, index: &Row) {
        let Ok(row) = self.clients.store.read(&JobRow::key_of(job)).await else {
            return;
        };
        let found = row.and_then(|row| Some((serde_json::from_value::<JobRow>(row.value).ok()?, row.version)));
        let Some((mut row, version)) = found.filter(|(row, _)| !row.state.is_final()) else {
            let txn = Txn::new().delete(index.key.clone(), Expected::Version(index.version));
            // Best effort: the next round finds the index row again.
            let _ = self.clients.store.commit(&txn, Urgency::Ledger).await;
            return;
        };
        let Some(attempt_result) = self.attempt_result(&row).await else {
            self.mark_indeterminate(row, version).await;
            return;
        };
        let (answer, charge) = apply_result(&mut row, &attempt_result, RETRY_AFTER_MS);
        let write = JobWrite {
            row,
            expected_version: version,
            answer,
            charge,
            data_centre: self.data_centre.clone(),
        };
        // After a conflict or failure the index row remains, so the next round tries again.
        let _ = write.commit(&self.clients.store).await;
    }

    /// Returns the result of the last attempt; `None` while the worker does not answer or the task runs.
    async fn attempt_result(&self, row: &JobRow) -> Option<AttemptResult> {
        let attempt = row.attempts.last()?;
        let part = attempt.placement.parts.first()?;
        let task = TaskId::new(row.id(), attempt.number, 0);
        let listing = self.shared.published.listing();
        let listed = listing.workers.iter().find(|listed| listed.id == part.worker)?;
        let age_ms = (self.shared.clock.now_unix_ms()).saturating_sub(attempt.recorded_unix_ms);
        match probe_task(
            &self.clients.workers,
            &listed.address,
            &part.worker,
            part.lease,
            &task,
            age_ms,
        )
        .await
        {
            ProbeResult::Ended(report) => Some(AttemptResult::from_report(*report)),
            ProbeResult::NotStarted => Some(AttemptResult::NotStarted),
            ProbeResult::Unknown => Some(AttemptResult::Unknown),
            ProbeResult::Running | ProbeResult::Unresponsive => None,
        }
    }

    /// Marks the outcome as unknown for callers; the index row stays until the worker answers.
    async fn mark_indeterminate(&self, mut row: JobRow, version: u64) {
        if row.state == JobState::Indeterminate {
            return;
        }
        row.state = JobState::Indeterminate;
        if let Ok(value) = serde_json::to_value(&row) {
            let txn = Txn::new().put(row.key(), Expected::Version(version), value);
            let _ = self.clients.store.commit(&txn, Urgency::Job).await;
        }
    }
}
