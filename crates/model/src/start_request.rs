use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Epoch, LeaseId, Resources, TaskId};

/// Request to start a task under a slot lease.
///
/// Repeating the request with the same task id starts nothing and returns the report of that task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Lease that reserves the resources.
    pub lease: LeaseId,
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Task to start.
    pub task: TaskId,
    /// Resources of the lease that the task uses.
    pub resources: Resources,
    /// Input of the task.
    pub payload: Value,
    /// Checkpoint to resume from, as reported by the worker.
    #[serde(default)]
    pub resume_from: Option<String>,
    /// Whether the task can be checkpointed.
    #[serde(default)]
    pub checkpointable: bool,
}
