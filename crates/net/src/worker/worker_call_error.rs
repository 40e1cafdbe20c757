use model::WorkerError;
use thiserror::Error;

/// Failure of a call to a worker.
///
/// Only [`WorkerCallError::Lost`] leaves open whether the command took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WorkerCallError {
    /// The worker refused; nothing changed.
    #[error("worker refuses: {0}")]
    Refused(#[from] WorkerError),
    /// The server at the worker's address rejected the request; nothing changed.
    #[error("worker rejects the request with status {status}")]
    Rejected {
        /// HTTP status of the reply, 4xx or 503.
        status: u16,
    },
    /// No connection could be made, so the request was not sent; nothing changed.
    #[error("no connection to the worker; the request was not sent")]
    NotSent,
    /// The request was sent but no complete reply arrived; it may have taken effect.
    #[error("no reply from the worker; the command may have taken effect")]
    Lost,
}

impl WorkerCallError {
    /// Returns whether the command is known to have had no effect.
    pub const fn is_without_effect(self) -> bool {
        !matches!(self, Self::Lost)
    }
}
