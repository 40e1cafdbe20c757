use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use thiserror::Error;

/// Name of a task, made up of job, occurrence, step and index.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskName {
    /// Job id.
    pub job: CompactString,
    /// Occurrence of a scheduled job; 0 for other jobs.
    pub occurrence: u32,
    /// Step number.
    pub step: u32,
    /// Index of the task in the step.
    pub index: u32,
}

/// Error for a string that is not a task name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a task name; expected JOB.OCCURRENCE.STEP.INDEX")]
pub struct ParseTaskNameError {
    text: CompactString,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskName {
    type Err = ParseTaskNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseTaskNameError { text: text.into() };
        let mut parts = text.split('.');
        let job = parts.next().filter(|job| !job.is_empty()).ok_or_else(error)?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(error);
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(Self {
            job: job.into(),
            occurrence,
            step,
            index,
        })
    }
}
