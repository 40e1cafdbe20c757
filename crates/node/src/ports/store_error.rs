use compact_str::CompactString;
use thiserror::Error;

/// Failure of a read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store refuses the read.
    #[error("store refuses the read: {0}")]
    Refused(CompactString),
    /// No reply.
    #[error("no reply from the store to a read")]
    NoReply,
}
