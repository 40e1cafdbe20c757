use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{JobState, OrganisationShare, SpeedState, WorkerTally};

/// State of a job as a scheduler sees it, and why its tasks wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// State of the job.
    pub state: JobState,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Time since acceptance.
    pub age_ms: u64,
    /// Completion objective since acceptance, from the forecast of its run times.
    pub objective_ms: u64,
    /// Share of its organisation; `None` if an older release answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationShare>,
    /// What is known of the speeds of the workers; `None` from a build that does not estimate them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speeds: Option<SpeedState>,
    /// Steps that are not done.
    pub steps: Vec<StepExplanation>,
}

/// State of a step of an occurrence as a scheduler sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepExplanation {
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Number of tasks of the step.
    pub tasks: u32,
    /// Number of tasks that are done.
    pub done: u32,
    /// Active runs.
    pub runs: Vec<RunExplanation>,
    /// Why its other tasks wait; `None` if no task waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits_for: Option<WaitCause>,
    /// Time for which it has had a task whose turn has come and none at work, as counted for callers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_ms: Option<u64>,
    /// Its standing in the order if it waits for a service without enough capacity: `aged`, `in_time`, `postponed`,
    /// `late` or `beyond_limit`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standing: Option<CompactString>,
    /// Which rule keeps its waiting tasks from which number of workers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workers: Option<WorkerTally>,
}

/// State of a run as a scheduler sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunExplanation {
    /// Index of the task in the step.
    pub index: u32,
    /// Run number.
    pub run: u64,
    /// Worker.
    pub worker: CompactString,
    /// `starting`, `running` or `stopping`.
    pub state: CompactString,
    /// Time since the start command, or since a scheduler of this epoch first saw the run.
    pub since_ms: u64,
    /// Time since the worker's last reply.
    pub heard_ms_ago: u64,
    /// Speed of the worker in percent of the mean; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed_percent: Option<u64>,
}

/// Why tasks wait.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "cause")]
pub enum WaitCause {
    /// The start bound that covers the job is not durable yet: the store has not confirmed it.
    StartBound,
    /// A worker crashed under one of its tasks, and that is not durable yet.
    UnsavedCrash,
    /// A worker crashed under one of its tasks; such a task starts only on a worker without other new work.
    Isolation,
    /// The list of workers could not be read for this long, so their capacity is not known.
    StaleWorkerList {
        /// Age of the list.
        age_ms: u64,
    },
    /// The feed of jobs could not be read for this long, so the job may have been cancelled.
    StaleJobs {
        /// Age of the newest known cancellations.
        age_ms: u64,
    },
    /// Workers that an earlier epoch used are unresponsive; tasks of the job may run there.
    SilentWorkers {
        /// Their ids.
        workers: Vec<CompactString>,
    },
    /// Earlier steps are not done.
    EarlierSteps {
        /// Their numbers.
        steps: Vec<u32>,
    },
    /// Members of the previous run of a gang are still ending.
    FormerRun,
    /// Back-off after a rejected start.
    Pause {
        /// Remaining time.
        left_ms: u64,
    },
    /// No worker may run it: none has the service and label, or all that do are draining, unresponsive, excluded or
    /// out of service.
    NoWorker,
    /// The organisation would have more running than its maximum.
    OrganisationMaximum {
        /// Resource of which it would have too much, with its unit; `unknown` while a takeover, or a run whose job is not
        /// known, leaves open what it has running.
        resource: CompactString,
        /// Amount in use.
        in_use: u64,
        /// Maximum.
        limit: u64,
        /// Time for which the step has waited for it.
        held_ms: u64,
    },
    /// Too little free capacity.
    Room {
        /// Number of tasks that have to start together; 1 unless the step is a gang.
        needed: u64,
        /// Number of tasks that fit into the free capacity.
        fit: u64,
        /// Number of workers that may run them.
        workers: u64,
    },
    /// The gang fits, but not in one rack or the rack of its data.
    Rack,
    /// There is free capacity, but other rules of placement withhold it, or the next placement pass has not run yet.
    Turn,
}

impl WaitCause {
    /// Returns the name of the cause as it appears in logs.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::StartBound => "start_bound",
            Self::UnsavedCrash => "unsaved_crash",
            Self::Isolation => "isolation",
            Self::StaleWorkerList { .. } => "stale_worker_list",
            Self::StaleJobs { .. } => "stale_jobs",
            Self::SilentWorkers { .. } => "silent_workers",
            Self::EarlierSteps { .. } => "earlier_steps",
            Self::FormerRun => "former_run",
            Self::Pause { .. } => "pause",
            Self::NoWorker => "no_worker",
            Self::OrganisationMaximum { .. } => "organisation_maximum",
            Self::Room { .. } => "room",
            Self::Rack => "rack",
            Self::Turn => "turn",
        }
    }
}
