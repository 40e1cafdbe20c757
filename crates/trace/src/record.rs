use model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::Event;

/// Event with the process that recorded it, its sequence number and its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Process that recorded the event.
    pub process: InstanceId,
    /// Number of the event within the process, starting at 1.
    pub sequence: u64,
    /// Unix time in milliseconds at which it was recorded, by the clock of the process.
    pub at_unix_ms: u64,
    /// Event.
    #[serde(flatten)]
    pub event: Event,
}
