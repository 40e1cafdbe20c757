use std::sync::Arc;

use model::{
    Config, Epoch, InstanceId, Inventory, JobId, JobRow, LeaseId, TaskId, TaskReport, WorkerError, WorkerId,
    WorkerReport,
};

use crate::WriteId;

/// Event that a driver feeds to a scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The instance acquired the scheduling lease with this epoch. Recovery starts.
    Elected {
        /// Epoch of the lease.
        epoch: Epoch,
    },
    /// The scheduling lease is lost. The scheduler sends no further commands.
    Deposed,
    /// The store became reachable or unreachable.
    StoreReachable(bool),
    /// A configuration with a higher version is in force, or the data centre was put in or out of service locally.
    Configured {
        /// Configuration; local overrides are already applied to the data centre's status.
        config: Arc<Config>,
    },
    /// Rows of unfinished jobs of this data centre: the reply to [`Action::ScanJobs`](crate::Action::ScanJobs).
    JobRows {
        /// Rows with their versions in the table.
        rows: Vec<(JobRow, u64)>,
    },
    /// A job whose row is durable, handed over by an entry instance.
    Submitted {
        /// Row of the job.
        row: Box<JobRow>,
        /// Version of the row in the table.
        version: u64,
    },
    /// The caller cancels a job.
    CancelRequested {
        /// Job.
        job: JobId,
    },
    /// A worker replied to a command, or the reply was lost.
    Worker {
        /// Worker.
        worker: WorkerId,
        /// Reply.
        reply: WorkerReply,
    },
    /// The platform's list shows the worker as draining.
    WorkerDraining {
        /// Worker.
        worker: WorkerId,
    },
    /// Result of a store write.
    Written {
        /// Number of the write.
        write: WriteId,
        /// Result.
        outcome: WriteOutcome,
    },
    /// Live entry instances of the data centre, with the number of granted slots that each wants.
    Instances {
        /// Instance and wanted slots.
        wanted_slots: Vec<(InstanceId, u16)>,
    },
    /// The holder of a grant released it, or the grant expired.
    GrantReleased {
        /// Worker.
        worker: WorkerId,
        /// Lease.
        lease: LeaseId,
    },
    /// Planned stop of the instance: hand everything over and start nothing new.
    Stopping,
    /// Time passed; sent at least every 100 ms.
    Tick,
}

/// Reply of a worker to one command.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerReply {
    /// Reply to a fence.
    Fenced(Box<Inventory>),
    /// Reply to a lease request.
    Leased {
        /// Lease.
        lease: LeaseId,
        /// Whether the worker granted it.
        result: Result<(), WorkerError>,
    },
    /// Reply to a start.
    Started {
        /// Task.
        task: TaskId,
        /// First report of the task.
        result: Result<Box<TaskReport>, WorkerError>,
    },
    /// Reply to a renewal.
    Renewed(Result<Box<WorkerReport>, WorkerError>),
    /// Reply to a stop or a checkpoint.
    Ended {
        /// Task.
        task: TaskId,
        /// Last report of the task.
        result: Result<Box<TaskReport>, WorkerError>,
    },
    /// Reply to a revocation.
    Revoked {
        /// Lease.
        lease: LeaseId,
        /// Reports of tasks that had been started under the lease.
        result: Result<Vec<TaskReport>, WorkerError>,
    },
    /// No reply within the time limit: the command may or may not have taken effect.
    Lost(LostCommand),
}

/// Command whose reply was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LostCommand {
    /// Fence.
    Fence,
    /// Lease request.
    Lease(LeaseId),
    /// Start.
    Start(TaskId),
    /// Renewal.
    Renew,
    /// Stop or checkpoint.
    End(TaskId),
    /// Revocation.
    Revoke(LeaseId),
}

/// Result of a store write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// Written; the row has this version now. Also reported if reading the row back proved it.
    Done {
        /// New version of the row.
        version: u64,
    },
    /// The row has another version than expected; nothing was written.
    Conflict {
        /// Current row with its version.
        current: Option<(Box<JobRow>, u64)>,
    },
    /// The store does not answer; the write is proven not to have taken effect.
    Unavailable,
    /// The store does not answer; whether the write took effect is not known. The driver reads it back later and
    /// reports again with the same number.
    Unknown,
}
