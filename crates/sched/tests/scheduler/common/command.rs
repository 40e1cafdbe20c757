use model::{Epoch, LeaseId, LeaseRequest, RenewRequest, StartRequest, TaskId};
use sched::LostCommand;

/// Deliberate defect of a fake, to show that a check can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Accepts commands of any epoch.
    IgnoresEpoch,
    /// Starts a task again that it already started.
    StartsTwice,
    /// Keeps tasks running whose lease has expired, and ignores revocations.
    IgnoresLeases,
    /// Truncates the body of an answer and gives it a matching digest.
    CutsAnswers,
    /// Does not report tasks that ended when a lease is revoked or an inventory read.
    ForgetsTasks,
    /// The table stores charges under a lease that ran no task.
    ChargesUnknownLease,
    /// The configuration that takes the data centre out of service reaches no instance.
    LosesConfig,
    /// Permitted, not a defect: nothing starts under a revoked lease, but its running tasks continue until stopped.
    KeepsTasksOnRevoke,
    /// The table loses acknowledged rows of finished jobs.
    LosesRows,
}

/// Command to a worker as the driver sends it.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    Fence(Epoch),
    Lease(LeaseRequest),
    Start(StartRequest),
    Renew(RenewRequest),
    Stop(Epoch, TaskId),
    Checkpoint(Epoch, TaskId),
    Revoke(Epoch, LeaseId),
}

impl Command {
    /// Returns what the driver reports if no reply arrives.
    pub fn lost(&self) -> LostCommand {
        match self {
            Self::Fence(_) => LostCommand::Fence,
            Self::Lease(request) => LostCommand::Lease(request.lease),
            Self::Start(request) => LostCommand::Start(request.task.clone()),
            Self::Renew(_) => LostCommand::Renew,
            Self::Stop(_, task) | Self::Checkpoint(_, task) => LostCommand::End(task.clone()),
            Self::Revoke(_, lease) => LostCommand::Revoke(*lease),
        }
    }
}
