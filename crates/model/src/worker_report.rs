use serde::{Deserialize, Serialize};

use crate::{LeaseId, TaskReport, WorkerId};

/// Reply of a worker to a lease renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Worker.
    pub worker: WorkerId,
    /// Whether the worker is draining and accepts no new work.
    pub leaving: bool,
    /// Sequence number of the last task state change in this report.
    pub sequence: u64,
    /// Tasks whose state changed after the sequence number in the request.
    pub changes: Vec<TaskReport>,
    /// Leases in the request that the worker no longer holds.
    pub lapsed: Vec<LeaseId>,
}
