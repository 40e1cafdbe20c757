use thiserror::Error;

use crate::Row;

/// Failure of a store request.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum StoreError {
    /// A condition did not hold; nothing was written.
    #[error("condition on row {key:?} does not hold")]
    Conflict {
        /// Key whose condition failed.
        key: String,
        /// Current row.
        current: Option<Row>,
    },
    /// The request was not sent or was refused; nothing was written.
    #[error("store is unavailable")]
    Unavailable,
    /// The reply was lost; the write may have taken effect and must be read back.
    #[error("no reply from the store; the write may have taken effect")]
    Unknown,
    /// The request is not valid; nothing was written.
    #[error("store rejects the request with status {status}")]
    Rejected {
        /// HTTP status of the reply.
        status: u16,
    },
}
