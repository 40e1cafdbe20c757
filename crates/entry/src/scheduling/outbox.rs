use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use bytes::Bytes;
use model::{Answer, Charge, DataCentreId, JobId, JobRow, JobState};
use sched::WriteOutcome;
use serde_json::json;
use store::{Expected, Objects, PlatformClient, Resolved, Row, StoreError, Txn, Urgency};

use crate::urgent::urgent_key;

/// Write of a job row that the scheduler asked for.
#[derive(Debug, Clone)]
pub(crate) struct JobWrite {
    pub(crate) row: JobRow,
    pub(crate) expected_version: u64,
    pub(crate) answer: Option<Answer>,
    pub(crate) charge: Option<Charge>,
    /// Data centre whose scheduler writes.
    pub(crate) data_centre: DataCentreId,
}

/// Pause between tries of an object write and of reading back.
const PAUSE: Duration = Duration::from_millis(500);
/// Bound of reading back before the scheduler is told that the outcome is unknown.
const READ_BACK: Duration = Duration::from_secs(2);

impl JobWrite {
    /// Writes the answer first, then row, open index and charge in one transaction.
    pub(crate) async fn commit(&self, store: &PlatformClient) -> WriteOutcome {
        if let Some(answer) = &self.answer {
            let key = JobRow::answer_key_of(&self.row.id());
            // The row is not written yet, so a failure here proves that the write did not take effect.
            if put_object(store, &key, &answer.body).await.is_err() {
                return WriteOutcome::Unavailable;
            }
        }
        self.settle(store, READ_BACK).await
    }

    /// Reads a write with unknown outcome back until it is known.
    pub(super) async fn read_back(&self, store: Rc<PlatformClient>) -> WriteOutcome {
        loop {
            sleep(PAUSE).await;
            match self.settle(&store, READ_BACK).await {
                WriteOutcome::Unknown | WriteOutcome::Unavailable => {}
                known => return known,
            }
        }
    }

    async fn settle(&self, store: &PlatformClient, within: Duration) -> WriteOutcome {
        let Ok(txn) = self.txn() else {
            return WriteOutcome::Unavailable;
        };
        let urgency = if self.row.state.is_final() {
            Urgency::Job
        } else {
            Urgency::Attempt
        };
        match store.commit_resolved(&txn, urgency, within).await {
            Ok(Resolved::Written { versions }) => WriteOutcome::Done {
                version: versions.first().copied().unwrap_or_default(),
            },
            Ok(Resolved::Superseded { mut rows }) => self.compare(rows.swap_remove(0)),
            Err(StoreError::Conflict { current, key }) if key == self.row.key() => self.compare(current),
            Err(StoreError::Conflict { .. } | StoreError::Unavailable | StoreError::Rejected { .. }) => {
                WriteOutcome::Unavailable
            }
            Err(StoreError::Unknown) => WriteOutcome::Unknown,
        }
    }

    /// Tells a row that already is as wanted from one that someone else changed.
    fn compare(&self, current: Option<Row>) -> WriteOutcome {
        let current = current.and_then(|row| Some((serde_json::from_value::<JobRow>(row.value).ok()?, row.version)));
        match current {
            Some((row, version)) if row == self.row => WriteOutcome::Done { version },
            current => WriteOutcome::Conflict {
                current: current.map(|(row, version)| (Box::new(row), version)),
            },
        }
    }

    fn txn(&self) -> Result<Txn, serde_json::Error> {
        let job = self.row.id();
        let expected = match self.expected_version {
            0 => Expected::Absent,
            version => Expected::Version(version),
        };
        let mut txn = Txn::new().put(self.row.key(), expected, serde_json::to_value(&self.row)?);
        if self.row.state.is_final() || self.row.state == JobState::Indeterminate {
            txn = txn.delete(urgent_key(&self.data_centre, &job), Expected::Any);
        }
        if self.row.state.is_final() {
            txn = txn.delete(open_key(&self.data_centre, &job), Expected::Any);
        } else if self.row.data_centre != self.data_centre {
            txn = txn.delete(open_key(&self.data_centre, &job), Expected::Any).put(
                open_key(&self.row.data_centre, &job),
                Expected::Any,
                json!({}),
            );
        }
        if let Some(charge) = &self.charge {
            // A repeated write has the same content, so no condition is needed.
            txn = txn.put(charge.key(), Expected::Any, serde_json::to_value(charge)?);
        }
        Ok(txn)
    }
}

/// Stores an answer body, with a few tries because the write is idempotent.
///
/// # Errors
///
/// Returns the last [`StoreError`].
pub(crate) async fn put_object(store: &PlatformClient, key: &str, body: &str) -> Result<(), StoreError> {
    const TRIES: u32 = 3;
    let mut result = Err(StoreError::Unavailable);
    for _ in 0..TRIES {
        result = store.put(key, Bytes::copy_from_slice(body.as_bytes())).await;
        if !matches!(result, Err(StoreError::Unknown)) {
            break;
        }
    }
    result
}

/// Returns the key of the index row that marks a job as open in a data centre.
pub(crate) fn open_key(data_centre: &DataCentreId, job: &JobId) -> String {
    format!("open/{data_centre}/{job}")
}

/// Returns the prefix of all index rows of a data centre.
pub(crate) fn open_prefix(data_centre: &DataCentreId) -> String {
    format!("open/{data_centre}/")
}
