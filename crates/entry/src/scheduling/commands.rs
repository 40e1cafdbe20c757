use std::rc::Rc;

use model::{Epoch, WorkerError, WorkerId};
use net::{WorkerCallError, WorkerClient};
use sched::{Action, LostCommand, WorkerReply};

/// Command to one worker.
#[derive(Debug)]
pub(super) struct Command {
    pub(super) base_url: String,
    pub(super) worker: WorkerId,
    pub(super) epoch: Epoch,
    pub(super) action: Action,
}

impl Command {
    /// Sends the command and converts the reply for the scheduler.
    pub(super) async fn send(self, workers: Rc<WorkerClient>) -> WorkerReply {
        let (base_url, worker, epoch) = (self.base_url.as_str(), &self.worker, self.epoch);
        match self.action {
            Action::Fence { epoch, .. } => match workers.fence(base_url, worker, epoch).await {
                Ok(inventory) => WorkerReply::Fenced(Box::new(inventory)),
                Err(error) => refused_or_lost(error, WorkerReply::Lost(LostCommand::Fence), |error| {
                    WorkerReply::Renewed(Err(error))
                }),
            },
            Action::Lease { request, .. } => {
                let lease = request.lease;
                match workers.lease(base_url, worker, &request).await {
                    Ok(_) => WorkerReply::Leased { lease, result: Ok(()) },
                    Err(error) => refused_or_lost(error, WorkerReply::Lost(LostCommand::Lease(lease)), |error| {
                        WorkerReply::Leased {
                            lease,
                            result: Err(error),
                        }
                    }),
                }
            }
            Action::Start { request, .. } => {
                let task = request.task.clone();
                match workers.start(base_url, worker, &request).await {
                    Ok(report) => WorkerReply::Started {
                        task,
                        result: Ok(Box::new(report)),
                    },
                    // A start that was never sent counts as refused, because nothing can run from it.
                    Err(WorkerCallError::NotSent | WorkerCallError::Rejected { .. }) => WorkerReply::Started {
                        task,
                        result: Err(WorkerError::UnknownWorker),
                    },
                    Err(WorkerCallError::Refused(error)) => WorkerReply::Started {
                        task,
                        result: Err(error),
                    },
                    Err(WorkerCallError::Lost) => WorkerReply::Lost(LostCommand::Start(task)),
                }
            }
            Action::Renew { request, .. } => match workers.renew(base_url, worker, &request).await {
                Ok(report) => WorkerReply::Renewed(Ok(Box::new(report))),
                Err(error) => refused_or_lost(error, WorkerReply::Lost(LostCommand::Renew), |error| {
                    WorkerReply::Renewed(Err(error))
                }),
            },
            Action::Stop { task, .. } => {
                let result = workers.stop(base_url, worker, epoch, &task).await;
                ended_reply(task, result)
            }
            Action::Checkpoint { task, .. } => {
                let result = workers.checkpoint(base_url, worker, epoch, &task).await;
                ended_reply(task, result)
            }
            Action::Revoke { lease, .. } => match workers.revoke(base_url, worker, epoch, lease).await {
                Ok(reports) => WorkerReply::Revoked {
                    lease,
                    result: Ok(reports),
                },
                Err(error) => refused_or_lost(error, WorkerReply::Lost(LostCommand::Revoke(lease)), |error| {
                    WorkerReply::Revoked {
                        lease,
                        result: Err(error),
                    }
                }),
            },
            other => unreachable!("{other:?} is not a command to a worker"),
        }
    }

    /// Returns the name of the command as used in metrics.
    pub(super) const fn name(&self) -> &'static str {
        match self.action {
            Action::Fence { .. } => "fence",
            Action::Lease { .. } => "lease",
            Action::Start { .. } => "start",
            Action::Renew { .. } => "renew",
            Action::Stop { .. } => "stop",
            Action::Checkpoint { .. } => "checkpoint",
            Action::Revoke { .. } => "revoke",
            _ => "other",
        }
    }
}

/// Returns the highest epoch that the worker knows, if it rejected the command because of that epoch.
pub(super) const fn fenced_by(reply: &WorkerReply) -> Option<Epoch> {
    let (WorkerReply::Leased { result: Err(error), .. }
    | WorkerReply::Started { result: Err(error), .. }
    | WorkerReply::Renewed(Err(error))
    | WorkerReply::Ended { result: Err(error), .. }
    | WorkerReply::Revoked { result: Err(error), .. }) = reply
    else {
        return None;
    };
    match error {
        WorkerError::Fenced { highest } => Some(*highest),
        _ => None,
    }
}

fn ended_reply(task: model::TaskId, result: Result<model::TaskReport, WorkerCallError>) -> WorkerReply {
    match result {
        Ok(report) => WorkerReply::Ended {
            task,
            result: Ok(Box::new(report)),
        },
        Err(error) => {
            let lost = WorkerReply::Lost(LostCommand::End(task.clone()));
            refused_or_lost(error, lost, |error| WorkerReply::Ended {
                task,
                result: Err(error),
            })
        }
    }
}

fn refused_or_lost(
    error: WorkerCallError,
    lost: WorkerReply,
    refused: impl FnOnce(WorkerError) -> WorkerReply,
) -> WorkerReply {
    match error {
        WorkerCallError::Refused(error) => refused(error),
        _ => lost,
    }
}
