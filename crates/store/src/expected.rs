use serde::{Deserialize, Serialize};

/// Condition on a row for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expected {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(u64),
    /// No condition.
    Any,
}
