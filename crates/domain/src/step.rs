use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Resources;

/// Step of a job: tasks of one shape.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property that callers declare"
)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub need: Resources,
    /// Declared run time of a task; often far off.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub after: SmallVec<[u32; 4]>,
    /// The tasks run together or not at all.
    pub is_gang: bool,
    /// The tasks take longer when they run in more than one rack.
    pub is_same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<CompactString>,
    /// Rack with the data; elsewhere the tasks take longer.
    pub data_rack: Option<CompactString>,
    /// Most tasks of the step on one worker; 0 means no limit.
    pub max_per_worker: u32,
    /// Copies of a task may run at the same time.
    pub is_speculative: bool,
    /// The tasks save checkpoints.
    pub saves_checkpoints: bool,
    /// The tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: CompactString,
    /// Limit of the tail latency of a task that serves users; 0 means none.
    pub target_ms: u64,
    /// The tasks use processor time that others leave, which is not counted against the capacity.
    pub is_filler: bool,
    /// Most tasks that may be unavailable at once through the system's own actions; 0 means no limit.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns what a task takes from the capacity of its worker.
    pub const fn charged(&self) -> Resources {
        Resources {
            cpu_milli: if self.is_filler { 0 } else { self.need.cpu_milli },
            ..self.need
        }
    }

    /// Returns whether a task must not be stopped for the sake of other work: its users would miss it.
    pub const fn is_bound_to_stay(&self) -> bool {
        self.is_long_running || self.max_unavailable > 0
    }
}
