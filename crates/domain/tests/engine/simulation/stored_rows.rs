use domain::{Job, Progress, StoredJob};

/// Rows of a job in the fake store.
#[derive(Debug, Clone)]
pub struct StoredRows {
    pub job: Job,
    pub progress: Progress,
    pub inserted_version: u64,
    pub version: u64,
    pub is_cancelled: bool,
}

impl StoredRows {
    pub(super) fn to_stored_job(&self) -> StoredJob {
        StoredJob {
            job: self.job.clone(),
            progress: self.progress.clone(),
            inserted_version: self.inserted_version,
            progress_version: self.version,
        }
    }
}
