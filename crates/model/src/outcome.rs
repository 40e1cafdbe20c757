use serde::{Deserialize, Serialize};

use crate::{Answer, Refusal};

/// Outcome of a request as reported to the caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The work ran and produced this answer.
    Ran {
        /// Complete answer with length and digest.
        answer: Answer,
    },
    /// The work ran and failed.
    Failed {
        /// Error message of the task.
        message: String,
    },
    /// The work did not run and will not run.
    DidNotRun {
        /// Reason of the refusal.
        refusal: Refusal,
    },
    /// The job was cancelled.
    Cancelled {
        /// Whether any part had been started.
        started: bool,
    },
    /// The job is queued or running.
    InProgress,
    /// It is not known yet whether the work ran; it is not run again.
    Indeterminate,
}
