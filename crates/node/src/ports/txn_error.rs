use compact_str::CompactString;
use thiserror::Error;

use super::OwnRow;

/// Failure of a transaction.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TxnError {
    /// A condition does not hold; nothing was written. Contains the current rows of the conditions.
    #[error("a condition does not hold")]
    Conflict(Vec<OwnRow>),
    /// The store refused the transaction; nothing was written.
    #[error("store refuses the write: {0}")]
    NotDone(CompactString),
    /// No reply; the transaction may have taken effect, or may still do so.
    #[error("no reply from the store to a write")]
    Unknown,
}
