use model::{
    Answer, Charge, Epoch, InstanceId, JobId, JobRow, LeaseId, LeaseRequest, Outcome, RenewRequest, StartRequest,
    TaskId, WorkerId,
};

use crate::WriteId;

/// What a scheduler asks its driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Fence a worker: raise its epoch and read its inventory.
    Fence {
        /// Worker.
        worker: WorkerId,
        /// Epoch.
        epoch: Epoch,
    },
    /// Read the rows of unfinished jobs of this data centre.
    ScanJobs,
    /// Write a job row by compare-and-set, after the answer body if there is one, together with the charge.
    Write {
        /// Number under which the result is reported.
        write: WriteId,
        /// Row to write.
        row: Box<JobRow>,
        /// Version that the row must have.
        expected_version: u64,
        /// Answer body to store first.
        answer: Option<Box<Answer>>,
        /// Charge to write in the same transaction.
        charge: Option<Box<Charge>>,
    },
    /// Ask a worker for a slot lease.
    Lease {
        /// Worker.
        worker: WorkerId,
        /// Request.
        request: LeaseRequest,
    },
    /// Start a task.
    Start {
        /// Worker.
        worker: WorkerId,
        /// Request.
        request: Box<StartRequest>,
    },
    /// Renew all leases at a worker.
    Renew {
        /// Worker.
        worker: WorkerId,
        /// Request.
        request: RenewRequest,
    },
    /// Stop a task.
    Stop {
        /// Worker.
        worker: WorkerId,
        /// Task.
        task: TaskId,
    },
    /// Checkpoint and stop a task.
    Checkpoint {
        /// Worker.
        worker: WorkerId,
        /// Task.
        task: TaskId,
    },
    /// Revoke a lease; no task can start under it afterwards, even if the lease request arrives later.
    Revoke {
        /// Worker.
        worker: WorkerId,
        /// Lease.
        lease: LeaseId,
    },
    /// Hand a granted slot lease to an instance. May be repeated for a lease that the instance already holds.
    Grant {
        /// Instance.
        instance: InstanceId,
        /// Worker.
        worker: WorkerId,
        /// Lease.
        lease: LeaseId,
    },
    /// Ask an instance to release a grant after its current task.
    RecallGrant {
        /// Instance.
        instance: InstanceId,
        /// Worker.
        worker: WorkerId,
        /// Lease.
        lease: LeaseId,
    },
    /// The job has this outcome now; notify the callers that wait for it.
    Outcome {
        /// Job.
        job: JobId,
        /// Outcome.
        outcome: Box<Outcome>,
    },
    /// Append an event to the timeline.
    Event(Box<trace::Event>),
    /// Everything is handed over; the scheduling lease can be released.
    ///
    /// The leases of running work are renewed until the driver confirms the release with
    /// [`Input::Deposed`](crate::Input::Deposed).
    HandedOver,
}
