use serde::{Deserialize, Serialize};

use crate::{Answer, Refusal};

/// What a caller is told about a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The work ran and this is the whole answer.
    Ran {
        /// Answer with length and digest.
        answer: Answer,
    },
    /// The work ran and failed.
    Failed {
        /// Message of the task.
        message: String,
    },
    /// The work did not run, and will not.
    DidNotRun {
        /// Reason of the refusal.
        refusal: Refusal,
    },
    /// The job was cancelled.
    Cancelled {
        /// Whether any part had started.
        started: bool,
    },
    /// The job is queued or running.
    InProgress,
    /// Whether the work ran is not known yet; it is not repeated.
    Indeterminate,
}
