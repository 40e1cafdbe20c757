use std::future::Future;

use model::{DataCentreId, InstanceId, JobId, JobRow, JobState, TaskId};
use serde::Deserialize;
use store::{Expected, Row, Table, Txn, Urgency};

use super::outbox::JobWrite;
use crate::context::{Clients, Context as Shared};
use crate::members::PeerStatus;
use crate::urgent::{Finding, Verdict, close, find_out, urgent_prefix};

/// Decides urgent non-idempotent attempts whose instance died before it wrote the end.
///
/// The scheduling lease holder looks through the index of open attempts. It asks the workers, and revokes a lease without
/// its task, so that the instance, should it only have been paused, cannot start the task any more.
#[derive(Debug)]
pub(super) struct Orphans {
    shared: Shared,
    clients: Clients,
    data_centre: DataCentreId,
    busy: bool,
}

/// Value of an index row.
#[derive(Debug, Deserialize)]
struct Owner {
    instance: InstanceId,
    started_unix_ms: u64,
}

/// Index rows looked at in one round.
const PAGE: u32 = 200;
/// When a caller whose request proved not to have started may retry.
const RETRY_MS: u64 = 500;

impl Orphans {
    pub(super) fn new(shared: Shared, clients: Clients, data_centre: DataCentreId) -> Self {
        Self {
            shared,
            clients,
            data_centre,
            busy: false,
        }
    }

    /// Starts a round, unless one is under way.
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
        let Ok(page) = self.clients.store.scan(&prefix, "", PAGE).await else {
            return;
        };
        for index in page {
            let job = index
                .key
                .strip_prefix(&prefix)
                .and_then(|text| text.parse::<JobId>().ok());
            let owner = serde_json::from_value::<Owner>(index.value.clone()).ok();
            if let (Some(job), Some(owner)) = (job, owner)
                && self.is_gone(&owner)
            {
                self.decide(&job, &index).await;
            }
        }
    }

    /// Returns whether the instance does not answer, or is another incarnation of itself.
    ///
    /// A suspected instance counts as gone, because its grants lapse soon and prove nothing afterwards.
    fn is_gone(&self, owner: &Owner) -> bool {
        if owner.instance == self.shared.settings.instance {
            return owner.started_unix_ms != self.shared.clock.started_unix_ms();
        }
        let members = self.shared.published.members();
        members
            .peer(&owner.instance)
            .is_none_or(|peer| peer.status != PeerStatus::Live || peer.started_unix_ms > owner.started_unix_ms)
    }

    async fn decide(&self, job: &JobId, index: &Row) {
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
        let Some(verdict) = self.verdict(&row).await else {
            self.mark_indeterminate(row, version).await;
            return;
        };
        let (answer, charge) = close(&mut row, &verdict, RETRY_MS);
        let write = JobWrite {
            row,
            expected_version: version,
            answer,
            charge,
            data_centre: self.data_centre.clone(),
        };
        // A conflict or failure leaves the index row, so the next round looks again.
        let _ = write.commit(&self.clients.store).await;
    }

    /// Returns what became of the last attempt; `None` while the worker does not answer or the task runs.
    async fn verdict(&self, row: &JobRow) -> Option<Verdict> {
        let attempt = row.attempts.last()?;
        let part = attempt.placement.parts.first()?;
        let task = TaskId::new(row.id(), attempt.number, 0);
        let listing = self.shared.published.listing();
        let listed = listing.workers.iter().find(|listed| listed.id == part.worker)?;
        match find_out(&self.clients.workers, &listed.address, &part.worker, part.lease, &task).await {
            Finding::Ended(report) => Some(Verdict::of(*report)),
            Finding::NotStarted => Some(Verdict::NotStarted),
            Finding::Forgotten => Some(Verdict::Forgotten),
            Finding::Running | Finding::Silent => None,
        }
    }

    /// Shows callers that the outcome is unknown; the index row stays until the worker answers.
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
