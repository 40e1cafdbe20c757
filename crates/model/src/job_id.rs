use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{InvalidId, OrganisationId, RequestId};

/// Identity of a job: the caller's request id within its organisation. Written `organisation/request`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId {
    /// Organisation that submitted the job.
    pub organisation: OrganisationId,
    /// Request id chosen by the caller.
    pub request: RequestId,
}

impl JobId {
    /// Creates the id from its components.
    pub const fn new(organisation: OrganisationId, request: RequestId) -> Self {
        Self { organisation, request }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.request)
    }
}

impl FromStr for JobId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let (organisation, request) = text.split_once('/').ok_or_else(|| InvalidId::new("job id", text))?;
        Ok(Self::new(organisation.parse()?, request.parse()?))
    }
}

impl TryFrom<String> for JobId {
    type Error = InvalidId;

    fn try_from(text: String) -> Result<Self, InvalidId> {
        text.parse()
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.to_string()
    }
}
