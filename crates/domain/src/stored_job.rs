use crate::{Job, Progress};

/// Job with its progress, as the store holds them.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredJob {
    /// Job as accepted.
    pub job: Job,
    /// Progress.
    pub progress: Progress,
    /// Version of the transaction that accepted the job.
    pub inserted_version: u64,
    /// Version of the progress row.
    pub progress_version: u64,
}
