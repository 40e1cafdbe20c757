use model::{Attempt, Class, DataCentreId, JobRow, JobState, OrganisationId, Refusal, RequestId, Shape};
use serde::{Deserialize, Serialize};

/// State of a job as its row records it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Organisation that submitted the job.
    pub organisation: OrganisationId,
    /// Request id of the job.
    pub request_id: RequestId,
    /// Service class.
    pub class: Class,
    /// Whether running the job twice has the same effect as running it once.
    pub idempotent: bool,
    /// Parts, accelerators and adjacency.
    pub shape: Shape,
    /// State.
    pub state: JobState,
    /// Outcome as reported to callers: `in_progress`, `ran`, `failed`, `cancelled`, `did_not_run` or `indeterminate`.
    pub outcome: String,
    /// Data centre whose scheduler owns the job.
    pub data_centre: DataCentreId,
    /// When the job was accepted, in milliseconds of Unix time.
    pub accepted_unix_ms: u64,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
    /// Length of the stored answer in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_length_bytes: Option<u64>,
    /// SHA-256 of the stored answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_sha256: Option<String>,
    /// Error message of the task, if the job failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<String>,
    /// Reason, if the job did not run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Refusal>,
    /// Whether a caller requested cancellation.
    pub cancel_requested: bool,
}

impl From<JobRow> for JobStatus {
    fn from(row: JobRow) -> Self {
        let outcome = match row.state {
            JobState::Queued | JobState::Running => "in_progress",
            JobState::Finished => "ran",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
            JobState::DidNotRun => "did_not_run",
            JobState::Indeterminate => "indeterminate",
        };
        Self {
            organisation: row.spec.organisation,
            request_id: row.spec.request_id,
            class: row.spec.class,
            idempotent: row.spec.idempotent,
            shape: row.spec.shape,
            state: row.state,
            outcome: outcome.to_owned(),
            data_centre: row.data_centre,
            accepted_unix_ms: row.accepted_unix_ms,
            attempts: row.attempts,
            answer_length_bytes: row.answer_length_bytes,
            answer_sha256: row.answer_sha256,
            failure: row.failure,
            refusal: row.refusal,
            cancel_requested: row.cancel_requested,
        }
    }
}
