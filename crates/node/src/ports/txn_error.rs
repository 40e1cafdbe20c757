use compact_str::CompactString;
use thiserror::Error;

use super::OwnRow;

/// Failure of a transaction.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TxnError {
    /// A condition does not hold; nothing was written. Holds the rows of the conditions as they are.
    #[error("a condition does not hold")]
    Conflict(Vec<OwnRow>),
    /// Nothing was written.
    #[error("store refuses the write: {0}")]
    NotDone(CompactString),
    /// No reply: it may have taken effect, or may later.
    #[error("no reply from the store to a write")]
    Unknown,
}
