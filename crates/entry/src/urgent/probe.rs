use model::{LeaseId, TaskId, TaskReport, WorkerError, WorkerId};
use net::{WorkerCallError, WorkerClient};

/// State of a task whose reply was lost, as its worker reports it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ProbeResult {
    /// The task ended.
    Ended(Box<TaskReport>),
    /// The task runs.
    Running,
    /// The task never started, and its lease is revoked, so it cannot start any more.
    NotStarted,
    /// The worker holds neither the task nor its lease: it was restarted, or the lease expired.
    Unknown,
    /// The worker does not answer.
    Unresponsive,
}

/// Queries a worker for the state of a task that was sent to it under a lease.
///
/// A live lease without the task proves that the task has not started; revoking the lease keeps it from starting later.
pub(crate) async fn probe_task(
    workers: &WorkerClient,
    base_url: &str,
    worker: &WorkerId,
    lease: LeaseId,
    task: &TaskId,
) -> ProbeResult {
    let Ok(inventory) = workers.inventory(base_url, worker).await else {
        return ProbeResult::Unresponsive;
    };
    if let Some(report) = find_report(inventory.tasks, task) {
        return probe_result_from(report);
    }
    if !inventory.leases.iter().any(|info| info.lease == lease) {
        return ProbeResult::Unknown;
    }
    match revoke(workers, base_url, worker, lease).await {
        Ok(reports) => find_report(reports, task).map_or(ProbeResult::NotStarted, probe_result_from),
        Err(_) => ProbeResult::Unresponsive,
    }
}

/// Revokes a lease, under the worker's current epoch if that of the lease is old.
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

fn find_report(reports: Vec<TaskReport>, task: &TaskId) -> Option<TaskReport> {
    reports.into_iter().find(|report| report.task == *task)
}

fn probe_result_from(report: TaskReport) -> ProbeResult {
    if report.state.is_ended() {
        ProbeResult::Ended(Box::new(report))
    } else {
        ProbeResult::Running
    }
}
