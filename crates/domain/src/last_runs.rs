use serde::{Deserialize, Serialize};

use crate::TaskRun;

/// Runs that may be on an unresponsive worker, on which the scheduler that wrote them has started nothing since. A
/// successor that cannot reach the worker either knows from them which tasks it has to wait for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastRuns {
    /// Epoch of the scheduler that wrote them.
    pub epoch: u64,
    /// Runs that have not certainly ended.
    pub runs: Vec<TaskRun>,
    /// Time after which the worker's leases had certainly expired, counted from the write; they are not renewed while this
    /// is stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_left_ms: Option<u64>,
}
