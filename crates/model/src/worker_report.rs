use serde::{Deserialize, Serialize};

use crate::{LeaseId, TaskReport, WorkerId};

/// Answer of a worker to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Worker.
    pub worker: WorkerId,
    /// Whether the worker is leaving and takes no new work.
    pub leaving: bool,
    /// Sequence number of the last change in this report.
    pub sequence: u64,
    /// Tasks whose state changed after the sequence number in the request.
    pub changes: Vec<TaskReport>,
    /// Leases in the request that the worker does not hold any more.
    pub lapsed: Vec<LeaseId>,
}
