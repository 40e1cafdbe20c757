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
    /// The run was stopped by a command.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// Run that a worker lists as running.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningTask {
    /// Task name as listed.
    pub task: CompactString,
    /// Run number.
    pub run: u64,
    /// Newest checkpoint.
    pub checkpoint: Option<CompactString>,
    /// Progress in percent.
    pub percent: f64,
    /// Tail latency of a serving task in milliseconds, or CPU use of any other task, over the last half second.
    pub recent: f64,
}

/// Run end that a worker lists until it is acknowledged.
#[derive(Debug, Clone, PartialEq)]
pub struct RunEnd {
    /// Sequence number within the worker's incarnation, from 1.
    pub number: u64,
    /// Task name as listed.
    pub task: CompactString,
    /// Run number.
    pub run: u64,
    /// How the run ended.
    pub kind: EndKind,
    /// Checkpoint at the end.
    pub checkpoint: Option<CompactString>,
}

/// Reply of a worker to a lease renewal.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// Monotonic clock of the worker.
    pub clock_ms: u64,
    /// Start of the worker process as Unix time.
    pub process_started_unix_ms: Option<u64>,
    /// All runs on the worker.
    pub running: Vec<RunningTask>,
    /// Oldest run ends that are not acknowledged, at most [`WorkerReport::MAX_ENDS`].
    pub ends: Vec<RunEnd>,
}

impl WorkerReport {
    /// Maximum number of run ends in a report.
    pub const MAX_ENDS: usize = 500;
}
