use compact_str::CompactString;

use super::keys::{JobKey, WorkerKey};
use super::run_progress::RunProgress;
use crate::Resources;

/// What the scheduler believes about a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// Ordered, no reply yet.
    Starting,
    /// The worker has it.
    Running,
    /// A stop is needed or under way; it occupies its worker until the end is listed.
    Stopping,
}

/// Run of a task on a worker.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "the facts are independent of each other")]
pub(super) struct Run {
    pub job: JobKey,
    pub occurrence: u32,
    pub step: u32,
    pub index: u32,
    pub number: u64,
    pub worker: WorkerKey,
    pub need: Resources,
    pub state: RunState,
    pub ordered_ms: u64,
    /// When the worker last confirmed a start or a stop; a report that was asked for later must list the run.
    pub settled_ms: Option<u64>,
    /// The last stop was confirmed, so that a late start is void.
    pub is_void: bool,
    pub stop_sent_ms: Option<u64>,
    pub checkpoint: Option<CompactString>,
    /// It began from a checkpoint, or before this epoch.
    pub resumed: bool,
    /// An earlier epoch ordered it.
    pub is_adopted: bool,
    pub recent: f64,
    pub progress: RunProgress,
    pub pace_percent: u32,
    pub paced_ms: u64,
    /// Unknown to this scheduler; it is stopped.
    pub is_foreign: bool,
}
