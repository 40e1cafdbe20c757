use model::TaskId;

use super::grant_pool::Ticket;

/// Attempt that was sent to a worker.
#[derive(Debug, Clone)]
pub(super) struct SentAttempt {
    pub(super) ticket: Ticket,
    pub(super) task: TaskId,
    /// Monotonic time at which the start command was sent.
    pub(super) sent_ms: u64,
}
