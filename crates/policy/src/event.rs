use crate::{JobKey, WorkerKey};

/// Change of a job or worker that the scheduler reports to the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// All parts of the job are running.
    Started {
        /// Job.
        job: JobKey,
    },
    /// The reservation or start failed and everything was released; nothing ran. The job is queued again.
    NotStarted {
        /// Job.
        job: JobKey,
        /// Worker that refused, if one did.
        worker: Option<WorkerKey>,
    },
    /// The job completed. The key is invalid afterwards.
    Finished {
        /// Job.
        job: JobKey,
        /// Measured run time in milliseconds.
        run_ms: u64,
    },
    /// The job failed on a worker. It is queued again if it may be repeated; otherwise a decision reports it as failed.
    Failed {
        /// Job.
        job: JobKey,
        /// Worker of the failed part.
        worker: WorkerKey,
    },
    /// The job was stopped by a preemption or because a worker was lost; nothing of it runs. It is queued again.
    Stopped {
        /// Job.
        job: JobKey,
        /// Run time that a checkpoint preserved, in milliseconds.
        preserved_ms: u64,
    },
    /// The job was removed for another reason, such as cancellation; its resources are freed. The key is invalid
    /// afterwards.
    Removed {
        /// Job.
        job: JobKey,
    },
    /// The worker answers and takes work.
    WorkerUp {
        /// Worker.
        worker: WorkerKey,
    },
    /// The worker does not answer. Jobs with a part there are reported by their own events.
    WorkerDown {
        /// Worker.
        worker: WorkerKey,
    },
    /// The worker is draining: running work continues, nothing new starts there.
    WorkerDraining {
        /// Worker.
        worker: WorkerKey,
    },
}
