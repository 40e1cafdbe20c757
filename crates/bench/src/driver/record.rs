use policy::JobKey;
use smallvec::SmallVec;

/// State of a job in the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Not arrived, or ended.
    Idle,
    /// The policy has it and it holds nothing.
    Queued,
    /// Resources are held and the parts are being started.
    Starting,
    Running,
    /// A stop or checkpoint is under way.
    Stopping,
    /// A worker died; the job is reported when the leases there have expired.
    Lost,
    /// Urgent request that will be tried again.
    Retrying,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Finished,
    Refused,
    Failed,
    Cancelled,
    Indeterminate,
}

/// Job in the driver.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is independent of the state and of the others"
)]
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) state: State,
    /// Number of the attempt, so that events of a former attempt are recognised.
    pub(crate) attempt: u32,
    pub(crate) key: Option<JobKey>,
    pub(crate) workers: SmallVec<[u32; 4]>,
    /// Grant on which an urgent request runs.
    pub(crate) grant: Option<usize>,
    pub(crate) started_ms: u64,
    pub(crate) first_start_ms: Option<u64>,
    /// Run time that checkpoints preserved.
    pub(crate) preserved_ms: u64,
    /// The attempt runs on a worker that fails everything, or the job always fails.
    pub(crate) doomed: bool,
    pub(crate) cancelled: bool,
    /// A worker died under work that may not run again.
    pub(crate) outcome_unknown: bool,
    /// Demand within a guarantee, whose start is timed.
    pub(crate) is_reclaim: bool,
    /// Parts that run now.
    pub(crate) running_parts: usize,
}

impl Default for Record {
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
            doomed: false,
            cancelled: false,
            outcome_unknown: false,
            is_reclaim: false,
            running_parts: 0,
        }
    }
}
