use model::{Outcome, TaskId};

use super::grant_pool::Ticket;

/// Where a job goes whose attempt did not start.
pub(super) enum NextPlace {
    /// A recorded attempt on another worker.
    Here(Box<(Ticket, TaskId)>),
    /// Another instance served it.
    Served(Outcome),
    /// Nobody takes it in time.
    Nowhere,
}
