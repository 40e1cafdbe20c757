use model::{JobId, OrganisationId, Outcome, RequestId};
use serde::{Deserialize, Serialize};

/// Reply to a submitted or cancelled job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobReply {
    /// Organisation that submitted the job.
    pub organisation: OrganisationId,
    /// Request id of the job.
    pub request_id: RequestId,
    /// Outcome so far.
    #[serde(flatten)]
    pub outcome: Outcome,
}

impl JobReply {
    /// Creates the reply.
    pub fn new(job: JobId, outcome: Outcome) -> Self {
        Self {
            organisation: job.organisation,
            request_id: job.request,
            outcome,
        }
    }
}
