use sched::Action;

/// Fault that is injected once, at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The lease holder's process dies and restarts without state after 5 s.
    HolderKilled,
    /// The lease holder's process is suspended for 10 s, longer than its leases.
    HolderFrozen,
    /// The lease holder's process is suspended for 3 s, longer than its scheduling lease but not than slot leases.
    HolderPaused,
    /// The worker dies, loses its state and does not restart.
    WorkerKilled,
    /// The worker restarts without state 20 ms later and answers at once. Workers are assumed not to do this.
    WorkerRestarted,
    /// The worker is suspended for 8 s, longer than its leases.
    WorkerFrozen,
    /// The worker fails every task from now on.
    WorkerFailsAll,
    /// The worker cannot be reached for 6 s, but continues to run.
    WorkerCutOff,
    /// The store does not answer for 8 s.
    StoreDown,
    /// Each store request takes 1.5 s, for 10 s.
    StoreSlow,
    /// The message is lost before it takes effect.
    RequestLost,
    /// The message takes effect and its reply is lost. A write is applied, but its result is lost.
    ReplyLost,
    /// The message takes effect 3 s late, after its loss was reported.
    Delayed,
    /// The message and its reply arrive twice.
    Duplicated,
    /// The message is overtaken by those sent after it.
    Reordered,
    /// Rows that a scan returns are one version old, for 6 s.
    ListStale,
    /// Every job is submitted again.
    SubmittedTwice,
    /// The caller cancels the job.
    Cancelled,
}

/// Step of a job at which a fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The entry instance submits the job to the lease holder.
    Accept,
    /// The attempt record is written.
    Record,
    /// A slot lease is requested.
    Reserve,
    /// A part is started.
    Start,
    /// All parts run.
    Run,
    /// A checkpoint is requested.
    Checkpoint,
    /// A worker reports the end of a task.
    Report,
    /// A lease is revoked.
    Release,
    /// The final row is written with the answer.
    Answer,
    /// A charge is written.
    Charge,
    /// The data centre is taken out of service.
    Out,
    /// A worker starts to drain.
    Leaving,
    /// The lease holder begins a planned stop.
    Stop,
}

impl Step {
    /// Returns the step that an action belongs to.
    pub fn of(action: &Action) -> Option<Self> {
        match action {
            Action::Write { answer: Some(_), .. } => Some(Self::Answer),
            Action::Write { charge: Some(_), .. } => Some(Self::Charge),
            Action::Write { row, .. } => (row.state == model::JobState::Running).then_some(Self::Record),
            Action::Lease { .. } => Some(Self::Reserve),
            Action::Start { .. } => Some(Self::Start),
            Action::Checkpoint { .. } => Some(Self::Checkpoint),
            Action::Revoke { .. } => Some(Self::Release),
            Action::Event(event) if event.kind == trace::EventKind::JobStarted => Some(Self::Run),
            _ => None,
        }
    }
}

/// Fault that is injected when its step is reached for the (`skip` + 1)th time.
#[derive(Debug, Clone, Copy)]
pub struct ArmedFault {
    pub fault: Fault,
    pub step: Step,
    pub skip: u32,
    pub is_injected: bool,
}

impl ArmedFault {
    /// Creates an armed fault.
    pub const fn new(fault: Fault, step: Step, skip: u32) -> Self {
        Self {
            fault,
            step,
            skip,
            is_injected: false,
        }
    }
}
