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

/// Pause before a read-back is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of a read-back, after which the outcome is reported as unknown.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);

impl JobWrite {
    /// Writes the answer first, then the row, its index rows and the charge in one transaction.
    pub(crate) async fn commit(&self, store: &PlatformClient) -> WriteOutcome {
        if let Some(answer) = &self.answer {
            let key = JobRow::answer_key_of(&self.row.id());
            // The row is not written yet, so a failure here means that the write did not take effect.
            if put_object(store, &key, &answer.body).await.is_err() {
                return WriteOutcome::Unavailable;
            }
        }
        self.commit_row(store, READ_BACK_TIMEOUT).await
    }

    /// Retries a write with unknown outcome until the outcome is known.
    pub(super) async fn read_back(&self, store: Rc<PlatformClient>) -> WriteOutcome {
        loop {
            sleep(RETRY_INTERVAL).await;
            match self.commit_row(&store, READ_BACK_TIMEOUT).await {
                WriteOutcome::Unknown | WriteOutcome::Unavailable => {}
                known => return known,
            }
        }
    }

    async fn commit_row(&self, store: &PlatformClient, timeout: Duration) -> WriteOutcome {
        let Ok(txn) = self.txn() else {
            return WriteOutcome::Unavailable;
        };
        let urgency = if self.row.state.is_final() {
            Urgency::Job
        } else {
            Urgency::Attempt
        };
        match store.commit_resolved(&txn, urgency, timeout).await {
            Ok(Resolved::Written { versions }) => WriteOutcome::Done {
                version: versions.first().copied().unwrap_or_default(),
            },
            Ok(Resolved::Superseded { mut rows }) => self.outcome_from_current(rows.swap_remove(0)),
            Err(StoreError::Conflict { current, key }) if key == self.row.key() => self.outcome_from_current(current),
            Err(StoreError::Conflict { .. } | StoreError::Unavailable | StoreError::Rejected { .. }) => {
                WriteOutcome::Unavailable
            }
            Err(StoreError::Unknown) => WriteOutcome::Unknown,
        }
    }

    /// Distinguishes a row that is already as requested from one that somebody else changed.
    fn outcome_from_current(&self, current: Option<Row>) -> WriteOutcome {
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

/// Stores an answer body; retries unknown outcomes a few times, because the write is idempotent.
///
/// # Errors
///
/// Returns the last [`StoreError`].
pub(crate) async fn put_object(store: &PlatformClient, key: &str, body: &str) -> Result<(), StoreError> {
    const MAX_TRIES: u32 = 3;
    const FIRST_PAUSE: Duration = Duration::from_millis(50);
    let mut result = Err(StoreError::Unavailable);
    for attempt in 0..MAX_TRIES {
        if attempt > 0 {
            sleep(FIRST_PAUSE * 2u32.pow(attempt - 1)).await;
        }
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

/// Returns the key prefix of the index rows of a data centre's open jobs.
pub(crate) fn open_prefix(data_centre: &DataCentreId) -> String {
    format!("open/{data_centre}/")
}
