use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Expected, Put};

/// Transaction on the table: either all puts take effect or none. Counts as one write against the rate limit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Writes in the transaction; at most [`Txn::MAX_PUTS`].
    pub puts: Vec<Put>,
}

impl Txn {
    /// Maximum number of writes in one transaction.
    pub const MAX_PUTS: usize = 200;

    /// Creates an empty transaction.
    pub const fn new() -> Self {
        Self { puts: Vec::new() }
    }

    /// Adds the write of a row.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, expected: Expected, value: Value) -> Self {
        self.puts.push(Put {
            key: key.into(),
            expected,
            value: Some(value),
        });
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>, expected: Expected) -> Self {
        self.puts.push(Put {
            key: key.into(),
            expected,
            value: None,
        });
        self
    }
}
