use crate::{Job, Progress};

/// Job and its progress as loaded from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredJob {
    /// Job as accepted.
    pub job: Job,
    /// Progress.
    pub progress: Progress,
    /// Store version of the transaction that inserted the job.
    pub inserted_version: u64,
    /// Version of the progress row.
    pub progress_version: u64,
}
