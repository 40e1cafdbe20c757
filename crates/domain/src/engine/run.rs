use compact_str::CompactString;

use super::keys::WorkerKey;
use super::organisation_usage::Claim;
use super::queue::PlacementUnitKey;
use super::run_progress::RunProgress;
use super::run_task::RunTask;
use crate::{Resources, TaskRun};

/// Scheduler's view of the state of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// The start command was sent, no reply yet.
    Starting,
    /// The worker confirmed it.
    Running,
    /// A stop is needed or in flight; the run occupies its worker until its end is reported.
    Stopping,
}

/// Run of a task on a worker.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "the facts are independent of each other")]
pub(super) struct Run {
    /// Name and number, as its worker identifies it.
    pub id: TaskRun,
    /// Task that waits for it; `None` if no task of this scheduler needs it, so that it is stopped.
    pub task: Option<RunTask>,
    pub worker: WorkerKey,
    pub need: Resources,
    /// What it counts for; set when it is added.
    pub claim: Claim,
    pub state: RunState,
    pub start_sent_ms: u64,
    /// When the worker last confirmed the start or stop; a report requested later must list the run.
    pub confirmed_ms: Option<u64>,
    /// When a report last listed it as running.
    pub last_listed_ms: Option<u64>,
    /// Its task may have crashed workers before.
    pub is_suspect: bool,
    /// Its task is a suspect, and its worker has not outlived the start for long enough; nothing else starts there.
    pub is_isolated: bool,
    /// A crash of its worker was counted while it was not known whether the start had arrived.
    pub is_crash_counted: bool,
    /// The last stop was confirmed, so that a start command that arrives late has no effect.
    pub is_void: bool,
    pub stop_sent_ms: Option<u64>,
    /// A stop command was sent and is not answered yet.
    pub is_stop_in_flight: bool,
    pub checkpoint: Option<CompactString>,
    /// It resumed from a checkpoint, or started before this epoch.
    pub resumed: bool,
    /// An earlier epoch started it.
    pub is_adopted: bool,
    /// It is known from the store only: its worker has not listed it in this epoch.
    pub is_recalled: bool,
    /// A durable row about the last runs of its worker contains it.
    pub is_listed: bool,
    /// Its start command waits for that row and was not sent yet.
    pub is_unsent: bool,
    /// Tail latency in ms of a task that serves users; processor use of any other, over the last half second.
    pub recent: f64,
    pub progress: RunProgress,
    /// Its rate was taken into the speed of its worker.
    pub is_rate_observed: bool,
    pub work_percent: u32,
    pub throttle_sent_ms: u64,
    /// Its task runs until its job is cancelled.
    pub is_lasting: bool,
    /// Its job is not known, and so neither are the resources that it takes.
    pub is_need_unknown: bool,
}

impl Run {
    /// Returns a run that an earlier epoch started, without its task: nothing needs it until its job is known.
    pub fn of_former_epoch(id: TaskRun, worker: WorkerKey, now_ms: u64) -> Self {
        Self {
            id,
            task: None,
            worker,
            need: Resources::default(),
            claim: Claim::Unknown,
            state: RunState::Running,
            start_sent_ms: now_ms,
            confirmed_ms: Some(now_ms),
            last_listed_ms: Some(now_ms),
            is_suspect: false,
            is_isolated: false,
            is_crash_counted: false,
            is_void: false,
            stop_sent_ms: None,
            is_stop_in_flight: false,
            checkpoint: None,
            resumed: true,
            is_adopted: true,
            is_recalled: false,
            is_listed: false,
            is_unsent: false,
            recent: 0.0,
            progress: RunProgress::default(),
            is_rate_observed: false,
            work_percent: 100,
            throttle_sent_ms: 0,
            is_lasting: false,
            is_need_unknown: false,
        }
    }

    /// Returns the step of the task that waits for it.
    pub fn unit(&self) -> Option<PlacementUnitKey> {
        self.task.map(RunTask::unit)
    }

    /// Returns whether its worker has confirmed that it runs, and nothing stops it.
    pub fn is_at_work(&self) -> bool {
        self.confirmed_ms.is_some() && !self.is_recalled && self.state == RunState::Running
    }

    /// Returns what it takes for as long as its job is open; nothing if it ends by itself.
    pub fn lasting_need(&self) -> Resources {
        if self.is_lasting {
            self.need
        } else {
            Resources::default()
        }
    }
}
