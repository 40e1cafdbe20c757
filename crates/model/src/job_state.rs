use serde::{Deserialize, Serialize};

/// State of a job as recorded in its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Recorded durably; not yet known to a scheduler, or waiting in its queue.
    Queued,
    /// An attempt is recorded; parts are reserved or started.
    Running,
    /// Ran to completion; the answer is stored.
    Finished,
    /// Ran and failed, or failed on the maximum number of workers.
    Failed,
    /// Cancelled by the caller; an attempt may have run partially.
    Cancelled,
    /// Known never to have run.
    DidNotRun,
    /// The outcome of an attempt is unknown until a worker is reachable again.
    Indeterminate,
}

impl JobState {
    /// Returns whether the state is terminal.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled | Self::DidNotRun)
    }
}
