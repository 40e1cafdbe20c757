use serde::{Deserialize, Serialize};

use super::JobStatus;

/// Page of the job listing, sorted by organisation and request id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobPage {
    /// Jobs.
    pub jobs: Vec<JobStatus>,
    /// Value of `after` for the next page; `None` on the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next_after: Option<String>,
}
