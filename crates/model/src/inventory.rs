use serde::{Deserialize, Serialize};

use crate::{Epoch, LeaseInfo, TaskReport, WorkerId};

/// Everything a worker holds: live leases, running tasks, and tasks that ended in the last 10 minutes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Worker.
    pub worker: WorkerId,
    /// Highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Sequence number of the last task change.
    pub sequence: u64,
    /// Live leases.
    pub leases: Vec<LeaseInfo>,
    /// Tasks, running and ended.
    pub tasks: Vec<TaskReport>,
}
