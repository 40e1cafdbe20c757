use model::Refusal;
use smallvec::SmallVec;

use crate::{JobKey, WorkerKey};

/// Decision of a policy. The scheduler executes it and reports the result as an [`Event`](crate::Event).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start all parts of the job, part `i` on `workers[i]`. The resources are allocated from now on.
    Start {
        /// Job to start.
        job: JobKey,
        /// Worker of each part.
        workers: SmallVec<[WorkerKey; 4]>,
    },
    /// Stop the running job to free its resources; it is requeued once `Event::Stopped` is observed.
    Preempt {
        /// Job to preempt.
        job: JobKey,
        /// How to stop it.
        mode: Preemption,
    },
    /// Refuse the queued job, which never started. The key is invalid afterwards.
    Refuse {
        /// Job that is refused.
        job: JobKey,
        /// Reason for the caller.
        refusal: Refusal,
    },
    /// Report the job as failed. The key is invalid afterwards.
    Fail {
        /// Job that failed.
        job: JobKey,
        /// Reason.
        reason: FailReason,
    },
    /// A guaranteed shape of the organisation cannot be packed on the workers that are up.
    GuaranteeLost {
        /// Organisation whose guarantee cannot be met.
        organisation: model::OrganisationId,
        /// Shape that does not fit.
        shape: model::Shape,
    },
}

/// How a running job is stopped for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Preemption {
    /// Take a checkpoint, then stop.
    Checkpoint,
    /// Stop at once; the work done is lost and the job runs again.
    Stop,
}

/// Reason why a job is reported as failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailReason {
    /// Failed on the maximum number of distinct workers.
    FailedEverywhere,
    /// Failed and may not run again, because it is not idempotent.
    NotIdempotent,
}
