use actix::Message;
use compact_str::CompactString;
use domain::{
    Commit, LastRuns, Machine, MaintenanceReply, SpeedRow, StartBoundRow, StartOutcome, StoredJob, TaskRun, WaveRow,
    WorkerKey, WorkerReport,
};

use super::job_failures::JobFailuresRow;
use crate::ports::{RenewError, TxnError, WorkerChange};

/// Write that was sent to the store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentWrite {
    pub at_ms: u64,
    pub has_heartbeat: bool,
}

/// Message to the scheduler driver.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) enum Input {
    /// Ids and addresses of workers that earlier lease holders used.
    UsedWorkers(Vec<(CompactString, CompactString)>),
    /// Runs that may be on workers which were unresponsive, by worker.
    LastRuns(Vec<(CompactString, LastRuns)>),
    /// Jobs with their progress.
    Jobs(Vec<StoredJob>),
    /// Ids of jobs to cancel.
    Cancels(Vec<CompactString>),
    /// All jobs and cancellations up to this time have been passed on.
    JobsConfirmed(u64),
    /// Durable number of pending jobs per queue.
    Pending(Vec<(CompactString, u64)>),
    /// Durable facts about maintenance waves.
    WaveRows(Vec<WaveRow>),
    /// Durable failures of schedulers while they handled a job, with their versions, by job.
    JobFailures(Vec<(CompactString, JobFailuresRow, u64)>),
    /// Durable speeds of workers.
    SpeedRows(Vec<SpeedRow>),
    /// All stored rows have been read.
    Loaded,
    /// Complete list of workers, and when it was requested.
    WorkerList(Vec<WorkerChange>, u64),
    /// Changes to the list of workers, when they were requested, and whether none are left.
    WorkerChanges(Vec<WorkerChange>, u64, bool),
    /// Reply to a start command.
    Started(WorkerKey, TaskRun, StartOutcome),
    /// Run to stop, and whether the worker confirmed.
    StopDone(WorkerKey, TaskRun, bool),
    /// Worker whose throttle command has a reply or none in time.
    ThrottleDone(WorkerKey),
    /// Reply to a renewal of a worker's lease.
    Renewed(WorkerKey, Result<WorkerReport, RenewError>),
    /// Placement hints: workers with their tickets.
    PlacementHintsReceived(Option<Vec<(CompactString, CompactString)>>),
    /// List of machines; `None` if it could not be read.
    Machines(Option<Vec<Machine>>),
    /// Wave, machine and reply of a maintenance command.
    MaintenanceReplied(u64, CompactString, MaintenanceReply),
    /// Start bound of earlier epochs and the version of its row.
    FormerStartBound(Option<(StartBoundRow, u64)>),
    /// Version of the row with the revision of the list of used workers; 0 if there is none.
    HolderRevision(u64),
    /// Start bound and result of its write.
    StartBoundWritten(StartBoundRow, SentWrite, Result<u64, TxnError>),
    /// Commit and result of its write.
    Committed(Box<Commit>, SentWrite, Result<u64, TxnError>),
    /// Another instance holds the lease, or this instance is stopping.
    Stop,
}
