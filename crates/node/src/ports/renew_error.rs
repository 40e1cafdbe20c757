use thiserror::Error;

/// Why a renewal brought no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RenewError {
    /// The worker saw a newer epoch.
    #[error("the worker saw a newer epoch")]
    Fenced,
    /// Another incarnation answers.
    #[error("another incarnation answers at the address")]
    OtherIncarnation,
    /// No report.
    #[error("no report from the worker")]
    NoReply,
}
