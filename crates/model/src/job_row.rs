use serde::{Deserialize, Serialize};

use crate::{Attempt, DataCentreId, JobId, JobSpec, JobState, Refusal};

/// Durable record of a job, stored in the platform's table under `job/{organisation}/{request}`.
///
/// The row is inserted only if absent, so that a repeated request maps to the same job, and updated by
/// compare-and-set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// Job as submitted.
    pub spec: JobSpec,
    /// SHA-256 of the canonical body; detects a request id that is reused with another body.
    pub digest: String,
    /// Data centre whose scheduler owns the job.
    pub data_centre: DataCentreId,
    /// State of the job.
    pub state: JobState,
    /// When the job was accepted, in milliseconds of Unix time.
    pub accepted_unix_ms: u64,
    /// Attempts, oldest first; the last one is the current one.
    #[serde(default)]
    pub attempts: Vec<Attempt>,
    /// Length of the stored answer in bytes, once finished.
    #[serde(default)]
    pub answer_length_bytes: Option<u64>,
    /// SHA-256 of the stored answer, once finished.
    #[serde(default)]
    pub answer_sha256: Option<String>,
    /// Error message of the task, if the job failed.
    #[serde(default)]
    pub failure: Option<String>,
    /// Reason for the refusal, if the job did not run.
    #[serde(default)]
    pub refusal: Option<Refusal>,
    /// Checkpoints to resume from, one for each part, as reported by the workers; empty means a start from scratch.
    #[serde(default)]
    pub checkpoints: Vec<String>,
    /// Number of times the job was moved to another data centre because it could not run in its current one.
    #[serde(default)]
    pub moves: u32,
    /// Whether the caller requested cancellation.
    #[serde(default)]
    pub cancel_requested: bool,
}

impl JobRow {
    /// Creates the row of a newly accepted job.
    pub fn new(spec: JobSpec, data_centre: DataCentreId, accepted_unix_ms: u64) -> Self {
        Self {
            digest: spec.digest(),
            spec,
            data_centre,
            state: JobState::Queued,
            accepted_unix_ms,
            attempts: Vec::new(),
            answer_length_bytes: None,
            answer_sha256: None,
            failure: None,
            refusal: None,
            checkpoints: Vec::new(),
            moves: 0,
            cancel_requested: false,
        }
    }

    /// Returns the identity of the job.
    pub fn id(&self) -> JobId {
        self.spec.id()
    }

    /// Returns whether both rows have the same last attempt: number, workers, leases and time of the record.
    ///
    /// Only the instance that made an attempt may record how it ended; a later attempt in the row belongs to another
    /// instance. The time of the record distinguishes requests that used the same granted lease one after the other.
    pub fn has_same_last_attempt(&self, other: &Self) -> bool {
        let identity = |attempt: &Attempt| (attempt.number, attempt.placement.clone(), attempt.recorded_unix_ms);
        let last = |row: &Self| row.attempts.last().map(identity);
        last(self).is_some() && last(self) == last(other)
    }

    /// Returns the key of the row in the platform's table.
    pub fn key(&self) -> String {
        Self::key_of(&self.id())
    }

    /// Returns the key of the row of `job`.
    pub fn key_of(job: &JobId) -> String {
        format!("job/{job}")
    }

    /// Returns the key of the answer body in the object store.
    pub fn answer_key_of(job: &JobId) -> String {
        format!("answer/{job}")
    }
}
