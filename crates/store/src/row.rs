use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version; increases with each write of the row and never repeats for a key.
    pub version: u64,
    /// Value.
    pub value: Value,
}
