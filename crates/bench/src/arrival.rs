use model::JobSpec;

use crate::JobKind;

/// Job of the workload with what only the fake workers know of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When the job is submitted.
    pub at_ms: u64,
    /// Job as submitted.
    pub spec: JobSpec,
    /// Kind for reports.
    pub kind: JobKind,
    /// Real run time on working workers.
    pub run_ms: u64,
    /// When the caller cancels the job, if it has not ended by then.
    pub cancel_at_ms: Option<u64>,
    /// Whether the job fails on every worker.
    pub always_fails: bool,
    /// Whether the shape is larger than the topology.
    pub never_fits: bool,
}
