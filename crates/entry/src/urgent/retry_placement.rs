use model::{Outcome, TaskId};

use super::grant_pool::Ticket;

/// Result of placing a job again after an attempt that did not start.
pub(super) enum RetryPlacement {
    /// A recorded attempt on another worker.
    Local(Box<(Ticket, TaskId)>),
    /// Another instance served the job.
    Served(Outcome),
    /// No instance can run the job in time.
    Unplaced,
}
