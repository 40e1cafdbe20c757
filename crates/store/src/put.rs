use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Expected;

/// Write of one row within a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// Condition on the row; if it does not hold, the whole transaction has no effect.
    pub expected: Expected,
    /// New value; `None` deletes the row.
    pub value: Option<Value>,
}
