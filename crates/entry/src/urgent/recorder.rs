use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Duration;

use actix_rt::time::sleep;
use model::{JobId, JobRow};
use serde_json::json;
use store::{Expected, Resolved, Row, StoreError, Txn, Urgency};
use tokio::sync::oneshot;

use super::urgent_key;
use crate::context::{Clients, Context as Shared};

/// Writes the attempt records of urgent non-idempotent requests in batches.
#[derive(Debug)]
pub(super) struct Recorder {
    shared: Shared,
    clients: Clients,
    pending: RefCell<Vec<PendingRecord>>,
}

#[derive(Debug)]
struct PendingRecord {
    row: JobRow,
    reply: oneshot::Sender<Result<u64, RecordError>>,
}

/// Why an attempt record was not written.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RecordError {
    /// The job has a row already.
    Exists(Box<JobRow>, u64),
    /// The store does not answer; the record is not written.
    Unavailable,
    /// The store does not answer; the record may be written or not.
    Unknown,
}

impl Recorder {
    /// Maximum number of records in one transaction.
    pub(super) const MAX_BATCH: usize = 64;
    /// Time limit of reading back a batch; a record is useful only while its caller waits.
    const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);
    /// Maximum tries of a batch that did not reach the store while the store is not known to be unavailable.
    const MAX_TRIES: u32 = 3;
    /// Pause between these tries.
    const RETRY_PAUSE: Duration = Duration::from_millis(20);

    pub(super) fn new(shared: Shared, clients: Clients) -> Self {
        Self {
            shared,
            clients,
            pending: RefCell::default(),
        }
    }

    /// Queues a row for the next batch; returns the receiver of the result and whether the row is the batch's first.
    pub(super) fn queue(&self, row: JobRow) -> (oneshot::Receiver<Result<u64, RecordError>>, bool) {
        let (reply, receiver) = oneshot::channel();
        let mut pending = self.pending.borrow_mut();
        pending.push(PendingRecord { row, reply });
        (receiver, pending.len() == 1)
    }

    /// Returns whether no row is queued.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.borrow().is_empty()
    }

    /// Writes all queued rows.
    pub(super) async fn flush(&self) {
        let mut pending = std::mem::take(&mut *self.pending.borrow_mut());
        let mut batches = Vec::new();
        // A repeated request id goes into a later batch, where it finds the row of the first.
        let mut seen = HashSet::new();
        let repeated: Vec<PendingRecord> = pending
            .extract_if(.., |pending| !seen.insert(pending.row.id()))
            .collect();
        while !pending.is_empty() {
            let rest = pending.split_off(pending.len().min(Self::MAX_BATCH));
            batches.push(self.write(std::mem::replace(&mut pending, rest)));
        }
        futures_util::future::join_all(batches).await;
        for pending in repeated {
            self.write(vec![pending]).await;
        }
    }

    /// Writes one batch. A row that exists fails the whole transaction, so it is removed and the rest is retried.
    async fn write(&self, mut batch: Vec<PendingRecord>) {
        // A caller that gave up gets no record, since nothing will be dispatched for it.
        batch.retain(|pending| !pending.reply.is_closed());
        let mut tries = 0;
        while !batch.is_empty() {
            let Some(txn) = self.txn(&batch) else { return };
            tries += 1;
            let result = self
                .clients
                .store
                .commit_resolved(&txn, Urgency::Attempt, Self::READ_BACK_TIMEOUT)
                .await;
            match result {
                Ok(Resolved::Written { versions }) => {
                    self.shared.metrics.recorded_attempts.inc_by(batch.len() as u64);
                    for (pending, versions) in batch.drain(..).zip(versions.chunks(2)) {
                        let _ = pending.reply.send(Ok(versions[0]));
                    }
                }
                Err(StoreError::Conflict { key, current }) => {
                    let conflicting = batch.iter().position(|pending| pending.row.key() == key);
                    let Some(index) = conflicting else {
                        return fail(batch, &RecordError::Unavailable);
                    };
                    let pending = batch.swap_remove(index);
                    let _ = pending.reply.send(current_record(&pending.row, current.as_ref()));
                }
                Ok(Resolved::Superseded { rows }) => {
                    // The batch took effect, and another instance has changed a row since.
                    for (pending, rows) in batch.drain(..).zip(rows.chunks(2)) {
                        let _ = pending.reply.send(current_record(&pending.row, rows[0].as_ref()));
                    }
                }
                Err(StoreError::Unavailable)
                    if tries < Self::MAX_TRIES && !self.clients.store.stats().is_breaker_open =>
                {
                    sleep(Self::RETRY_PAUSE).await;
                }
                Err(StoreError::Unavailable | StoreError::Rejected { .. }) => {
                    return fail(batch, &RecordError::Unavailable);
                }
                Err(StoreError::Unknown) => return fail(batch, &RecordError::Unknown),
            }
        }
    }

    fn txn(&self, batch: &[PendingRecord]) -> Option<Txn> {
        let owner = json!({
            "instance": self.shared.settings.instance,
            "started_unix_ms": self.shared.clock.started_unix_ms(),
        });
        let mut txn = Txn::new();
        for PendingRecord { row, .. } in batch {
            let job: JobId = row.id();
            txn = txn
                .put(row.key(), Expected::Absent, serde_json::to_value(row).ok()?)
                .put(urgent_key(&row.data_centre, &job), Expected::Any, owner.clone());
        }
        Some(txn)
    }
}

/// Returns the version of a record that turned out to be written, or why it is not the one that is in the store.
fn current_record(own: &JobRow, current: Option<&Row>) -> Result<u64, RecordError> {
    match parse_row(current) {
        // A lost reply may hide that this very record was written.
        Some((found, version)) if found == *own => Ok(version),
        Some((found, version)) => Err(RecordError::Exists(Box::new(found), version)),
        None => Err(RecordError::Unavailable),
    }
}

fn parse_row(row: Option<&Row>) -> Option<(JobRow, u64)> {
    let row = row?;
    Some((serde_json::from_value(row.value.clone()).ok()?, row.version))
}

fn fail(batch: Vec<PendingRecord>, error: &RecordError) {
    for pending in batch {
        let _ = pending.reply.send(Err(error.clone()));
    }
}
