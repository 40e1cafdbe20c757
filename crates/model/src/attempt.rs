use serde::{Deserialize, Serialize};

use crate::{Epoch, Placement};

/// Durable record of one attempt to run a job; written before the first command is sent to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Number of the attempt, starting at 1.
    pub number: u32,
    /// Epoch of the scheduler, or of the grant, under which the attempt was made.
    pub epoch: Epoch,
    /// Workers and slot leases of the parts.
    pub placement: Placement,
    /// Last known state of the attempt.
    pub state: AttemptState,
    /// When the record was written, in milliseconds of Unix time.
    pub recorded_unix_ms: u64,
}

/// Last known state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// Recorded; parts may be reserved, hold a slot lease or be running.
    Recorded,
    /// Ran to completion.
    Finished,
    /// Ran and failed.
    Failed,
    /// Stopped or checkpointed by the system before completion.
    Stopped,
    /// Known never to have started.
    NotStarted,
    /// Unknown until a worker replies.
    Unknown,
}
