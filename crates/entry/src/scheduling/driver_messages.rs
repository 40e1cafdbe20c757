use std::time::Duration;

use actix::{Addr, Message};
use model::{Epoch, JobId, JobRow, Outcome};

use super::Elector;

/// The elector acquired the lease.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct Elected {
    pub(crate) epoch: Epoch,
}

/// The lease is lost.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct Demote;

/// The lease is to be handed over: finish what is under way and release it.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub(crate) struct Stepping {
    pub(crate) for_good: bool,
}

/// Introduces the elector of the same data centre.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetElector(pub(crate) Addr<Elector>);

/// Hands a durable job over. The reply is whether this instance schedules the data centre.
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
