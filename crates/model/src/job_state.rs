use serde::{Deserialize, Serialize};

/// State of a job as its row records it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Durable, not yet known to a scheduler or waiting in its queue.
    Queued,
    /// An attempt record exists; parts are reserved or started.
    Running,
    /// Ran to its end; the answer is stored.
    Finished,
    /// Ran and failed, or failed on the bounded number of workers.
    Failed,
    /// Cancelled by the caller; an attempt may have run in part.
    Cancelled,
    /// Proven never to have run.
    DidNotRun,
    /// The outcome of an attempt is unknown until a worker is reachable again.
    Indeterminate,
}

impl JobState {
    /// Returns whether the state never changes again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled | Self::DidNotRun)
    }
}
