use model::{RequestId, WorkerId};
use serde::{Deserialize, Serialize};

/// Body of a task's answer, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Request that the task belongs to.
    pub request_id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Index of the part.
    pub part: u16,
    /// Worker that ran the task.
    pub worker: WorkerId,
    /// How many times this part of the job has been started in this process; more than 1 is a duplicate run.
    pub starts: u32,
    /// Padding up to the length that the payload requests.
    pub data: String,
}
