use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{InvalidId, JobId};

/// Identity of one part of one attempt of a job. Written `organisation/request/attempt/part`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Index of the part within the gang, starting at 0.
    pub part: u16,
}

impl TaskId {
    /// Creates the id from its components.
    pub const fn new(job: JobId, attempt: u32, part: u16) -> Self {
        Self { job, attempt, part }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.attempt, self.part)
    }
}

impl FromStr for TaskId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let invalid = || InvalidId::new("task id", text);
        let (rest, part) = text.rsplit_once('/').ok_or_else(invalid)?;
        let (job, attempt) = rest.rsplit_once('/').ok_or_else(invalid)?;
        Ok(Self {
            job: job.parse()?,
            attempt: attempt.parse().map_err(|_| invalid())?,
            part: part.parse().map_err(|_| invalid())?,
        })
    }
}

impl TryFrom<String> for TaskId {
    type Error = InvalidId;

    fn try_from(text: String) -> Result<Self, InvalidId> {
        text.parse()
    }
}

impl From<TaskId> for String {
    fn from(id: TaskId) -> Self {
        id.to_string()
    }
}
