use model::{DataCentreId, Epoch, LeaseId, TaskId, TaskState, WorkerId};
use serde::{Deserialize, Serialize};

/// What happened to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogEvent {
    /// The task started.
    Start,
    /// The task ended.
    End,
}

/// Start or end of a task, as the worker saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Number of the entry, starting at 1.
    pub sequence: u64,
    /// When it happened, in milliseconds of Unix time.
    pub unix_ms: u64,
    /// What happened.
    pub event: LogEvent,
    /// Data centre of the worker.
    pub data_centre: DataCentreId,
    /// Worker.
    pub worker: WorkerId,
    /// Task.
    pub task: TaskId,
    /// Lease under which the task ran.
    pub lease: LeaseId,
    /// Epoch of the sender of the start.
    pub epoch: Epoch,
    /// State after the event.
    pub state: TaskState,
    /// How many times this part of the job has been started in this process, this start included.
    pub starts: u32,
}
