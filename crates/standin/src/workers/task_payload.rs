use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Behaviour of a task, read from the payload of its job. Other fields of the payload are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskPayload {
    /// How long the task runs at full speed, in milliseconds.
    pub run_ms: u64,
    /// Whether the task fails at its end.
    pub fail: bool,
    /// Minimum length of the answer body in bytes.
    pub answer_bytes: usize,
}

impl Default for TaskPayload {
    fn default() -> Self {
        Self {
            run_ms: 10,
            fail: false,
            answer_bytes: 0,
        }
    }
}

impl From<&Value> for TaskPayload {
    /// Reads the fields that are present; a payload of another form gives the default task.
    fn from(payload: &Value) -> Self {
        Self::deserialize(payload).unwrap_or_default()
    }
}
