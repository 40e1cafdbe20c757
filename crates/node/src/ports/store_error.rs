use compact_str::CompactString;
use thiserror::Error;

/// Failure of a read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store refuses the read.
    #[error("store refuses the read: {0}")]
    Refused(CompactString),
    /// The store did not reply.
    #[error("no reply from the store to a read")]
    NoReply,
}
