use sched::Action;

/// Fault that strikes once at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The holder's process dies; it comes back empty after 5 s.
    HolderKilled,
    /// The holder's process stands still for 10 s, longer than its leases.
    HolderFrozen,
    /// The holder's process stands still for 3 s, longer than its scheduling lease but not than slot leases.
    HolderPaused,
    /// The worker dies with its memory and stays away.
    WorkerKilled,
    /// The worker loses its memory 20 ms later and answers again at once. Workers are assumed not to do this.
    WorkerRestarted,
    /// The worker stands still for 8 s, longer than its leases.
    WorkerFrozen,
    /// The worker fails every task from now on.
    WorkerFailsAll,
    /// The worker cannot be reached for 6 s, but runs on.
    WorkerCutOff,
    /// The store does not answer for 8 s.
    StoreDown,
    /// Each store request takes 1.5 s, for 10 s.
    StoreSlow,
    /// The message is lost before it takes effect.
    RequestLost,
    /// The message takes effect and its reply is lost. For a write: applied, but the answer is lost.
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

/// Step of a job at which a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The entry instance hands the job over.
    Accept,
    /// The attempt record is written.
    Record,
    /// A slot lease is requested.
    Reserve,
    /// A part is started.
    Start,
    /// All parts run.
    Run,
    /// A checkpoint is asked for.
    Checkpoint,
    /// A worker reports the end of a task.
    Report,
    /// A lease is revoked.
    Release,
    /// The final row is written with the answer.
    Answer,
    /// A charge is written.
    Charge,
    /// The data centre is taken out.
    Out,
    /// A worker is leaving.
    Leaving,
    /// The holder stops by plan.
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

/// Fault that waits for its step to be reached `skip` + 1 times.
#[derive(Debug, Clone, Copy)]
pub struct Armed {
    pub fault: Fault,
    pub step: Step,
    pub skip: u32,
    pub has_struck: bool,
}

impl Armed {
    /// Creates an armed fault.
    pub const fn new(fault: Fault, step: Step, skip: u32) -> Self {
        Self {
            fault,
            step,
            skip,
            has_struck: false,
        }
    }
}
