use serde::{Deserialize, Serialize};

/// Service class of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Starts as soon as possible; the caller waits.
    Urgent,
    /// May wait in the queue.
    #[default]
    Deferred,
}
