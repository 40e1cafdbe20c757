use serde::{Deserialize, Serialize};

use crate::{Epoch, LeaseId, LeaseInfo, TaskReport, WorkerId};

/// Inventory of a worker: live leases, running tasks, and tasks that ended in the last 10 minutes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Worker.
    pub worker: WorkerId,
    /// Highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Whether the worker is draining.
    pub leaving: bool,
    /// Sequence number of the last task state change.
    pub sequence: u64,
    /// Live leases.
    pub leases: Vec<LeaseInfo>,
    /// Running and recently ended tasks.
    pub tasks: Vec<TaskReport>,
    /// Leases that this incarnation granted and that ended in the last 10 minutes. A worker that does not report them
    /// leaves the list empty.
    #[serde(default)]
    pub ended_leases: Vec<LeaseId>,
}

impl Inventory {
    /// Time for which a worker lists an ended task or lease.
    pub const RETENTION_MS: u64 = 600_000;
}
