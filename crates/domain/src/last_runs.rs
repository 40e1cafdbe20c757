use serde::{Deserialize, Serialize};

use crate::TaskRun;

/// Runs that may be on a worker. Each is listed before its start command is sent, so that a successor that cannot reach
/// the worker knows which tasks it has to wait for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastRuns {
    /// Epoch of the scheduler that wrote them.
    pub epoch: u64,
    /// Runs that have not certainly ended.
    pub runs: Vec<TaskRun>,
    /// Of an unresponsive worker: time after which its leases have certainly expired, counted from the write. They are not
    /// renewed, and nothing starts there, while this is stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_left_ms: Option<u64>,
}
