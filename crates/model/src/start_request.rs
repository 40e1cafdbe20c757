use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Epoch, LeaseId, Resources, TaskId};

/// Request to start a task under a slot lease.
///
/// Repeating it with the same task id starts nothing and returns the report of the first start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Lease that reserves the resources.
    pub lease: LeaseId,
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Task to start.
    pub task: TaskId,
    /// What the task takes out of the lease.
    pub resources: Resources,
    /// Input of the task.
    pub payload: Value,
    /// Checkpoint to resume from, as the worker reported it.
    #[serde(default)]
    pub resume_from: Option<String>,
    /// Whether a checkpoint can be taken.
    #[serde(default)]
    pub checkpointable: bool,
}
