use serde::{Deserialize, Serialize};

use crate::Record;

/// Part of a process's timeline, as `GET /v1/timeline` returns it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Records in order of their sequence numbers.
    pub records: Vec<Record>,
    /// Number of older events dropped from the bounded buffer.
    pub dropped: u64,
}
