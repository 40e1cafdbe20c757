use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Run whose worker has not been shown yet to outlive the start. A successor that finds another process on the worker knows
/// from it under which task the worker crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Run number.
    pub run: u64,
    /// Worker.
    pub worker: CompactString,
    /// Start of the worker process as Unix time, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process_started_unix_ms: Option<u64>,
}
