use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Resources;

/// Step of a job: tasks with equal properties.
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
    /// Declared run time of a task; often inaccurate.
    pub estimate_ms: u64,
    /// Numbers of the earlier steps whose tasks must all be done first.
    pub after: SmallVec<[u32; 4]>,
    /// Whether the tasks run together or not at all.
    pub is_gang: bool,
    /// Whether the tasks take longer when they are spread over more than one rack.
    pub is_same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<CompactString>,
    /// Rack that holds the data; in other racks the tasks take longer.
    pub data_rack: Option<CompactString>,
    /// Maximum number of tasks of the step on one worker; 0 means no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    pub is_speculative: bool,
    /// Whether the tasks save checkpoints.
    pub saves_checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Image that the tasks run; tasks with the same image behave alike.
    pub image: CompactString,
    /// Tail latency target of a serving task in milliseconds; 0 means none.
    pub target_ms: u64,
    /// Whether the tasks run in the background on CPU time that others leave unused, which is not counted against the
    /// capacity.
    pub is_filler: bool,
    /// Maximum number of tasks that the scheduler's own actions may make unavailable at once; 0 means no limit.
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the resources that a task takes from the capacity of its worker.
    pub const fn charged(&self) -> Resources {
        Resources {
            cpu_milli: if self.is_filler { 0 } else { self.need.cpu_milli },
            ..self.need
        }
    }

    /// Returns whether a task must not be preempted for other work, since it serves users.
    pub const fn is_non_preemptible(&self) -> bool {
        self.is_long_running || self.max_unavailable > 0
    }
}
