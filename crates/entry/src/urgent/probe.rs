use model::{Inventory, LeaseId, TaskId, TaskReport, WorkerError, WorkerId};
use net::{WorkerCallError, WorkerClient};

/// State of a task whose reply was lost, as its worker reports it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ProbeResult {
    /// The task ended.
    Ended(Box<TaskReport>),
    /// The task runs.
    Running,
    /// The task never started, and its lease has ended, so it cannot start any more.
    NotStarted,
    /// The worker knows neither the task nor its lease, as after a restart.
    Unknown,
    /// The worker does not answer.
    Unresponsive,
}

/// Queries a worker for the state of a task that was sent to it under a lease.
///
/// A live lease without the task proves that the task has not started; revoking the lease keeps it from starting later.
/// So does a lease that this incarnation of the worker granted and that has ended, while the worker would still list
/// the task: `age_ms` is the time since the task was sent.
pub(crate) async fn probe_task(
    workers: &WorkerClient,
    base_url: &str,
    worker: &WorkerId,
    lease: LeaseId,
    task: &TaskId,
    age_ms: u64,
) -> ProbeResult {
    /// Age of a task up to which its worker certainly still lists it if it started; leaves half of the retention for
    /// clocks that differ.
    const MAX_AGE_MS: u64 = Inventory::RETENTION_MS / 2;
    let Ok(inventory) = workers.inventory(base_url, worker).await else {
        return ProbeResult::Unresponsive;
    };
    if let Some(report) = find_report(inventory.tasks, task) {
        return probe_result_from(report);
    }
    if !inventory.leases.iter().any(|info| info.lease == lease) {
        return if age_ms < MAX_AGE_MS && inventory.ended_leases.contains(&lease) {
            ProbeResult::NotStarted
        } else {
            ProbeResult::Unknown
        };
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
