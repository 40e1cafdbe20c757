use thiserror::Error;

use super::StoreError;

/// Failure to read changes from a feed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// The changes after the given version are no longer available; the table has to be read again.
    #[error("the store no longer has the changes asked for")]
    HistoryLost,
    /// The store refuses the read or does not reply.
    #[error(transparent)]
    Store(#[from] StoreError),
}
