use model::{Class, Resources, Shape};
use policy::JobKey;
use smallvec::SmallVec;

use super::{nodes::Need, queue::QueueKey};

/// Job in a baseline.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) organisation: usize,
    pub(crate) class: Class,
    pub(crate) shape: Shape,
    pub(crate) part: Resources,
    pub(crate) idempotent: bool,
    pub(crate) checkpointable: bool,
    pub(crate) bucket: usize,
    pub(crate) queue_key: QueueKey,
    /// Time of the deadline; `None` if there is none or once the job has started.
    pub(crate) deadline_at_ms: Option<u64>,
    /// Worker of each part; empty while the job is queued.
    pub(crate) workers: SmallVec<[usize; 4]>,
    /// Sequence number of the start; the most recently started job is preempted first.
    pub(crate) start_number: u64,
    pub(crate) failed_on: SmallVec<[usize; 4]>,
    /// Whether a preemption was decided whose stop has not been observed yet.
    pub(crate) preemption_pending: bool,
    /// Job for which this one is preempted.
    pub(crate) victim_of: Option<JobKey>,
    /// Number of preempted jobs that this one waits for.
    pub(crate) awaited_victims: u32,
}

impl Job {
    pub(crate) fn accelerators(&self) -> u32 {
        self.shape.accelerators()
    }

    pub(crate) fn is_preemptible(&self) -> bool {
        self.idempotent || self.checkpointable
    }

    pub(crate) fn need(&self) -> Need<'_> {
        Need {
            shape: self.shape,
            part: self.part,
            idempotent: self.idempotent,
            excluded: &self.failed_on,
        }
    }
}
