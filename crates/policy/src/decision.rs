use model::Refusal;
use smallvec::SmallVec;

use crate::{JobKey, WorkerKey};

/// What a policy decided; the scheduler carries it out and reports back by [`Event`](crate::Event).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start all parts of the job, part `i` on `workers[i]`. The resources are held from now on.
    Start {
        /// Job to start.
        job: JobKey,
        /// Worker of each part.
        workers: SmallVec<[WorkerKey; 4]>,
    },
    /// End the running job so that its resources become free; it is requeued once `Event::Stopped` is observed.
    Preempt {
        /// Job to preempt.
        job: JobKey,
        /// Way of ending it.
        mode: Preemption,
    },
    /// Give the queued job up as never started. The key is invalid afterwards.
    Refuse {
        /// Job that is refused.
        job: JobKey,
        /// Reason for the caller.
        refusal: Refusal,
    },
    /// Give the job up as failed. The key is invalid afterwards.
    Fail {
        /// Job that failed.
        job: JobKey,
        /// Reason.
        reason: FailReason,
    },
    /// The guaranteed shape with this index of the organisation cannot be packed on the workers that are up.
    GuaranteeLost {
        /// Organisation whose guarantee cannot be met.
        organisation: model::OrganisationId,
        /// Shape that does not fit.
        shape: model::Shape,
    },
}

/// Way of ending a running job for the sake of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Preemption {
    /// Take a checkpoint, then stop.
    Checkpoint,
    /// Stop at once; the work is lost and runs again.
    Stop,
}

/// Reason why a job is given up as failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailReason {
    /// Failed on the bounded number of distinct workers.
    FailedEverywhere,
    /// Failed once and may not run again, because it is not idempotent.
    NotIdempotent,
}
