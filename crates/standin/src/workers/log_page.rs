use serde::{Deserialize, Serialize};

use crate::LogEntry;

/// Part of the execution log, as `GET /v1/log?after=` returns it. The log is read until a page is empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Entries after the sequence number in the request, oldest first.
    pub entries: Vec<LogEntry>,
    /// Entries that were dropped because the log was full; proofs need 0.
    pub dropped: u64,
}
