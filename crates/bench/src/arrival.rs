use model::JobSpec;

use crate::JobKind;

/// Job of the workload, with properties that the policy does not know.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When the job is submitted.
    pub at_ms: u64,
    /// Job as submitted.
    pub spec: JobSpec,
    /// Kind for reports.
    pub kind: JobKind,
    /// Actual run time on workers that are not broken.
    pub run_ms: u64,
    /// When the caller cancels the job, if it has not ended by then.
    pub cancel_at_ms: Option<u64>,
    /// Whether the job fails on every worker.
    pub always_fails: bool,
    /// Whether the shape does not fit into the empty topology.
    pub never_fits: bool,
}
