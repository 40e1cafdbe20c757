use serde::{Deserialize, Serialize};

use crate::LogEntry;

/// Part of the execution log, as `GET /v1/log?after=` returns it. A reader requests pages until one is empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Entries after the sequence number in the request, oldest first.
    pub entries: Vec<LogEntry>,
    /// Entries that were dropped because the log was full; checks of the log need 0.
    pub dropped: u64,
}
