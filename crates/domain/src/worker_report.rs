use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not arrive in time.
    Alone,
}

/// Run that a worker lists as running.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningTask {
    /// Task name as listed.
    pub task: CompactString,
    /// Run.
    pub run: u64,
    /// Newest checkpoint.
    pub checkpoint: Option<CompactString>,
    /// Progress in percent.
    pub percent: f64,
    /// Tail latency in ms of a task that serves users; processor use of any other, over the last half second.
    pub recent: f64,
}

/// End that a worker lists until it is noted.
#[derive(Debug, Clone, PartialEq)]
pub struct End {
    /// Number of the end in the worker's incarnation, from 1.
    pub number: u64,
    /// Task name as listed.
    pub task: CompactString,
    /// Run.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// Checkpoint at the end.
    pub checkpoint: Option<CompactString>,
}

/// Reply of a worker to a lease renewal.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// Steady clock of the worker.
    pub clock_ms: u64,
    /// Start of the worker's process since 1970.
    pub born_unix_ms: Option<u64>,
    /// All runs on the worker.
    pub running: Vec<RunningTask>,
    /// Oldest ends that were not noted, at most [`WorkerReport::MAX_ENDS`].
    pub ends: Vec<End>,
}

impl WorkerReport {
    /// Most ends in one report.
    pub const MAX_ENDS: usize = 500;
}
