use serde::{Deserialize, Serialize};
use trace::Record;

/// Part of an instance's timeline.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePage {
    /// Records in order of their sequence numbers.
    pub records: Vec<Record>,
    /// Number of older events that left the bounded buffer.
    pub dropped: u64,
}
