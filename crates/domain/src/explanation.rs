use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::JobState;

/// What a scheduler knows of a job and why its tasks wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// State as the scheduler sees it.
    pub state: JobState,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Time since acceptance.
    pub age_ms: u64,
    /// Time in which it should be done, by the forecast of its run times.
    pub objective_ms: u64,
    /// Steps that are not done.
    pub steps: Vec<StepExplanation>,
}

/// What a scheduler knows of a step of an occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepExplanation {
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Tasks of the step.
    pub tasks: u32,
    /// Tasks that are done.
    pub done: u32,
    /// Runs under way.
    pub runs: Vec<RunExplanation>,
    /// Why its other tasks wait; `None` if none does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits_for: Option<WaitCause>,
}

/// What a scheduler knows of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunExplanation {
    /// Task of the step.
    pub index: u32,
    /// Run.
    pub run: u64,
    /// Worker.
    pub worker: CompactString,
    /// `starting`, `running` or `stopping`.
    pub state: CompactString,
    /// Time since the order, or since this epoch found it.
    pub since_ms: u64,
    /// Time since the worker last answered.
    pub heard_ms_ago: u64,
}

/// Why tasks wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "cause")]
pub enum WaitCause {
    /// The bound of starts is not durable yet: the store does not confirm it.
    StartBound,
    /// Workers of an earlier epoch have not answered; its tasks may run there.
    SilentWorkers {
        /// Their ids.
        workers: Vec<CompactString>,
    },
    /// Earlier steps are not done.
    EarlierSteps {
        /// Their numbers.
        steps: Vec<u32>,
    },
    /// Members of the former run of a gang still end.
    FormerRun,
    /// Pause after a rejected start.
    Pause {
        /// Rest of it.
        left_ms: u64,
    },
    /// No usable worker may run it: service, label, or all are leaving, silent, excluded or out of service.
    NoWorker,
    /// Too little room.
    Room {
        /// Tasks that have to start together, or one.
        needed: u64,
        /// Tasks for which there is room now.
        fit: u64,
        /// Usable workers.
        workers: u64,
    },
    /// There is room, and it is kept for other work or comes with the next pass.
    Turn,
}
