use thiserror::Error;

use super::StoreError;

/// Failure to read changes.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// The changes after the given version are no longer available; the table has to be read again.
    #[error("the store no longer has the changes asked for")]
    HistoryLost,
    /// The store does not answer.
    #[error(transparent)]
    Store(#[from] StoreError),
}
