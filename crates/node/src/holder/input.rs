use actix::Message;
use compact_str::CompactString;
use domain::{Commit, Machine, MaintenanceReply, StartOutcome, StoredJob, TaskRun, WorkerKey, WorkerReport};

use crate::ports::{RenewError, TxnError, WorkerChange};

/// What happens to the holder.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) enum Input {
    /// Workers that former holders used.
    UsedWorkers(Vec<(CompactString, CompactString)>),
    /// Jobs with their progress.
    Jobs(Vec<StoredJob>),
    /// Ids of jobs to cancel.
    Cancels(Vec<CompactString>),
    /// Durable counts of waiting jobs by queue.
    Pending(Vec<(CompactString, u64)>),
    /// All rows were read.
    Loaded,
    /// Whole list of workers.
    WorkerList(Vec<WorkerChange>),
    /// Changes of the list of workers.
    WorkerChanges(Vec<WorkerChange>),
    /// Reply to a start.
    Started(WorkerKey, TaskRun, StartOutcome),
    /// Reply to a stop.
    StopDone(TaskRun, bool),
    /// Reply to a renewal.
    Renewed(WorkerKey, Result<WorkerReport, RenewError>),
    /// Reply to a call for advice.
    Advised(Option<Vec<(CompactString, CompactString)>>),
    /// List of machines.
    Machines(Option<Vec<Machine>>),
    /// Reply to an upkeep order.
    UpkeepDone(u64, CompactString, MaintenanceReply),
    /// Bound of starts of former epochs, and the version of its row.
    FormerStartBound(Option<(u64, u64)>),
    /// Reply to the write of a bound of starts.
    StartBoundWritten(u64, u64, Result<u64, TxnError>),
    /// Reply to a write.
    Committed(Box<Commit>, u64, Result<u64, TxnError>),
    /// Another instance holds the lease, or this one stops.
    Stop,
}
