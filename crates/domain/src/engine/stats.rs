/// Counters of a scheduler since its epoch began, and gauges.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Start orders.
    pub starts: u64,
    /// Start orders that a worker rejected.
    pub rejected_starts: u64,
    /// Start orders without a reply.
    pub unanswered_starts: u64,
    /// Stop orders.
    pub stops: u64,
    /// Tasks done.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that ended in another way.
    pub broken: u64,
    /// Runs preempted for work of higher priority.
    pub preempted: u64,
    /// Unsaved work of ended runs that were not done, in core-milliseconds.
    pub wasted_core_ms: u64,
    /// Runs now.
    pub running: u64,
    /// Workers now.
    pub workers: u64,
    /// Jobs that are not final now.
    pub open_jobs: u64,
}
