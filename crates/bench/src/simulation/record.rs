use policy::JobKey;
use smallvec::SmallVec;

/// State of a job in the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Not arrived, or ended.
    Idle,
    /// Queued in the policy, without resources.
    Queued,
    /// Resources are allocated and the parts are starting.
    Starting,
    Running,
    /// A stop or checkpoint is in progress.
    Stopping,
    /// A worker crashed; the attempt is reported as stopped once the leases on it have expired.
    Lost,
    /// Urgent request that will be retried.
    Retrying,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    Finished,
    Refused,
    Failed,
    Cancelled,
    Indeterminate,
}

/// Job in the simulation.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is independent of the state and of the others"
)]
#[derive(Debug, Clone)]
pub(crate) struct JobRecord {
    pub(crate) state: State,
    /// Attempt number, by which events of earlier attempts are recognised.
    pub(crate) attempt: u32,
    pub(crate) key: Option<JobKey>,
    pub(crate) workers: SmallVec<[u32; 4]>,
    /// Grant on which an urgent request runs.
    pub(crate) grant: Option<usize>,
    pub(crate) started_ms: u64,
    pub(crate) first_start_ms: Option<u64>,
    /// Run time preserved by checkpoints.
    pub(crate) preserved_ms: u64,
    /// Whether the attempt will fail: it runs on a broken worker, or the job always fails.
    pub(crate) will_fail: bool,
    pub(crate) cancelled: bool,
    /// Whether a worker crashed while it ran a part of a job that is not idempotent.
    pub(crate) outcome_unknown: bool,
    /// Whether the guarantee covers the job, so that the time until its start is measured.
    pub(crate) is_reclaim: bool,
    /// Number of running parts.
    pub(crate) running_parts: usize,
}

impl Default for JobRecord {
    fn default() -> Self {
        Self {
            state: State::Idle,
            attempt: 0,
            key: None,
            workers: SmallVec::new(),
            grant: None,
            started_ms: 0,
            first_start_ms: None,
            preserved_ms: 0,
            will_fail: false,
            cancelled: false,
            outcome_unknown: false,
            is_reclaim: false,
            running_parts: 0,
        }
    }
}
