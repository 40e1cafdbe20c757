use model::{LeaseId, TaskId, TaskReport, WorkerError, WorkerId};
use net::{WorkerCallError, WorkerClient};

/// What a worker shows of a task whose reply was lost.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Finding {
    /// The task ended.
    Ended(Box<TaskReport>),
    /// The task runs.
    Running,
    /// The task never started, and its lease is revoked, so it cannot start any more.
    NotStarted,
    /// The worker holds neither the task nor its lease: it was restarted, or the lease lapsed.
    Forgotten,
    /// The worker does not answer.
    Silent,
}

/// Asks a worker what became of a task that was sent to it under a lease.
///
/// A live lease without the task proves that the task has not started; revoking the lease keeps it from starting later.
pub(crate) async fn find_out(
    workers: &WorkerClient,
    base_url: &str,
    worker: &WorkerId,
    lease: LeaseId,
    task: &TaskId,
) -> Finding {
    let Ok(inventory) = workers.inventory(base_url, worker).await else {
        return Finding::Silent;
    };
    if let Some(report) = find(inventory.tasks, task) {
        return shown(report);
    }
    if !inventory.leases.iter().any(|info| info.lease == lease) {
        return Finding::Forgotten;
    }
    match revoke(workers, base_url, worker, lease).await {
        Ok(reports) => find(reports, task).map_or(Finding::NotStarted, shown),
        Err(_) => Finding::Silent,
    }
}

/// Revokes a lease of this system under the worker's present epoch.
///
/// # Errors
///
/// Returns [`WorkerCallError`] if the worker does not confirm.
pub(super) async fn revoke(
    workers: &WorkerClient,
    base_url: &str,
    worker: &WorkerId,
    lease: LeaseId,
) -> Result<Vec<TaskReport>, WorkerCallError> {
    match workers.revoke(base_url, worker, lease.epoch, lease).await {
        // A grant outlives its scheduler, so its epoch may be an old one.
        Err(WorkerCallError::Refused(WorkerError::Fenced { highest })) => {
            workers.revoke(base_url, worker, highest, lease).await
        }
        result => result,
    }
}

fn find(reports: Vec<TaskReport>, task: &TaskId) -> Option<TaskReport> {
    reports.into_iter().find(|report| report.task == *task)
}

fn shown(report: TaskReport) -> Finding {
    if report.state.is_ended() {
        Finding::Ended(Box::new(report))
    } else {
        Finding::Running
    }
}
