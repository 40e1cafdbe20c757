use thiserror::Error;

/// Reason why a renewal returned no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RenewError {
    /// The worker has seen a newer epoch.
    #[error("the worker saw a newer epoch")]
    Fenced,
    /// Another incarnation answers at the worker's address.
    #[error("another incarnation answers at the address")]
    OtherIncarnation,
    /// No reply, or one without a report.
    #[error("no report from the worker")]
    NoReply,
}
