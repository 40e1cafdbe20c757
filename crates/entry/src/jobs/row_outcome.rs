use model::{Answer, JobRow, JobState, Outcome, Refusal};
use store::Objects;

/// Time after which a caller may retry a job whose refusal was not recorded.
const RETRY_AFTER_MS: u64 = 1_000;

/// Returns the final outcome that a row records; `None` while the job is open or its answer cannot be read.
pub(crate) async fn outcome_of_row(store: &impl Objects, row: &JobRow) -> Option<Outcome> {
    match row.state {
        JobState::Queued | JobState::Running => None,
        JobState::Finished => {
            let answer = read_answer(store, row).await.ok()??;
            Some(Outcome::Ran { answer })
        }
        JobState::Failed => Some(Outcome::Failed {
            message: row.failure.clone().unwrap_or_default(),
        }),
        JobState::Cancelled => Some(Outcome::Cancelled {
            started: !row.attempts.is_empty(),
        }),
        JobState::DidNotRun => Some(Outcome::DidNotRun {
            refusal: row.refusal.clone().unwrap_or(Refusal::NotStarted {
                retry_after_ms: RETRY_AFTER_MS,
            }),
        }),
        JobState::Indeterminate => Some(Outcome::Indeterminate),
    }
}

/// Error of reading a stored answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadAnswerError {
    /// The store does not answer.
    Unavailable,
    /// Length or digest differ from those in the row, or the object is missing.
    Damaged,
}

/// Reads the stored answer of a finished job and checks it against the row.
pub(super) async fn read_answer(store: &impl Objects, row: &JobRow) -> Result<Option<Answer>, ReadAnswerError> {
    if row.state != JobState::Finished {
        return Ok(None);
    }
    let key = JobRow::answer_key_of(&row.id());
    let body = store.get(&key).await.map_err(|_| ReadAnswerError::Unavailable)?;
    let body = body.ok_or(ReadAnswerError::Damaged)?;
    let body = String::from_utf8(body.to_vec()).map_err(|_| ReadAnswerError::Damaged)?;
    let answer = Answer::new(row.spec.request_id.clone(), body);
    let is_intact =
        Some(answer.length_bytes) == row.answer_length_bytes && Some(&answer.sha256) == row.answer_sha256.as_ref();
    if is_intact {
        Ok(Some(answer))
    } else {
        Err(ReadAnswerError::Damaged)
    }
}
