use std::time::Duration;

use actix::{Addr, Message};
use model::{Epoch, JobId, JobRow, Outcome};

use super::Elector;

/// The elector acquired the scheduling lease.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct Elected {
    pub(crate) epoch: Epoch,
}

/// The scheduling lease is lost.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct Demote;

/// Asks the driver to finish what is in flight and to release the lease.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct HandOver {
    /// Whether the instance stops and must not acquire the lease again.
    pub(crate) permanently: bool,
}

/// Sets the address of the data centre's elector.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetElector(pub(crate) Addr<Elector>);

/// Passes a durably stored job to the scheduler. The reply is whether this instance schedules the data centre.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct Submit {
    pub(crate) row: Box<JobRow>,
    pub(crate) version: u64,
}

/// Waits for the outcome of a job; `None` if the job is not known here.
#[derive(Debug, Clone, Message)]
#[rtype(result = "Option<Outcome>")]
pub(crate) struct Await {
    pub(crate) job: JobId,
    pub(crate) wait: Duration,
}

/// Cancels a job; the reply is whether it is known here.
#[derive(Debug, Clone, Message)]
#[rtype(result = "bool")]
pub(crate) struct CancelJob(pub(crate) JobId);
