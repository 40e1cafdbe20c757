use model::{Class, Resources, Shape};
use policy::JobKey;
use smallvec::SmallVec;

use super::{nodes::Need, queue::Turn};

/// Job as a baseline sees it.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) organisation: usize,
    pub(crate) class: Class,
    pub(crate) shape: Shape,
    pub(crate) part: Resources,
    pub(crate) idempotent: bool,
    pub(crate) checkpointable: bool,
    pub(crate) bucket: usize,
    pub(crate) turn: Turn,
    /// Deadline as an instant, until the job has started once.
    pub(crate) deadline_at_ms: Option<u64>,
    /// Workers of the parts; empty while the job waits.
    pub(crate) workers: SmallVec<[usize; 4]>,
    /// Order of starts, to preempt the youngest first.
    pub(crate) started_as: u64,
    pub(crate) failed_on: SmallVec<[usize; 4]>,
    /// A preemption of this job was decided and has not been observed yet.
    pub(crate) ending: bool,
    /// Job that waits for this one to end.
    pub(crate) victim_of: Option<JobKey>,
    /// Preempted jobs that this one waits for.
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
