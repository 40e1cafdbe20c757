use serde::{Deserialize, Serialize};

use crate::Row;

/// Body of the platform's reply to a transaction that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnReply {
    /// New version of each row, in order of the puts; 0 for a deleted row.
    pub versions: Vec<u64>,
}

/// Body of the platform's reply, with status 409, to a transaction whose condition does not hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConflictBody {
    /// Key whose condition failed.
    pub key: String,
    /// Current row.
    pub current: Option<Row>,
}
