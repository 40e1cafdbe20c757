//! Scheduler of one domain: makes all decisions on running multi-step jobs on the workers of a region.
//!
//! [`Engine`] is a state machine: its inputs are store rows, worker replies and the time, its outputs [`Action`]s. It
//! does no I/O, so that a test can inject every fault at every step without sleeping.
//!
//! ```
//! use domain::{Engine, Limits};
//!
//! let engine = Engine::new(1, Limits::default(), 0);
//! assert_eq!(engine.epoch(), 1);
//! ```

mod action;
mod config;
mod crash_group;
mod engine;
mod explanation;
mod job;
mod last_runs;
mod limits;
mod machine;
mod organisation_share;
mod progress;
mod resources;
mod run_record;
mod speed_row;
mod speed_row_error;
mod speed_state;
mod start_bound_row;
mod step;
mod stored_job;
mod stored_speed;
mod task_bits;
mod task_crashes;
mod task_name;
mod trial;
mod wave_row;
mod worker_entry;
mod worker_report;
mod worker_tally;

pub use action::{Action, Commit, CommitRow, StartCommand, TaskRun, WaveProgress};
pub use config::{Config, Organisation, Route, Service};
pub use crash_group::CrashGroup;
pub use engine::{Engine, EngineStats, Rejection, StartOutcome, WorkerKey};
pub use explanation::{Explanation, RunExplanation, StepExplanation, WaitCause};
pub use job::Job;
pub use last_runs::LastRuns;
pub use limits::Limits;
pub use machine::{Machine, MachineState, MaintenanceReply, Wave};
pub use organisation_share::OrganisationShare;
pub use progress::{JobState, Progress, StepProgress};
pub use resources::Resources;
pub use run_record::RunRecord;
pub use speed_row::SpeedRow;
pub use speed_row_error::SpeedRowError;
pub use speed_state::SpeedState;
pub use start_bound_row::StartBoundRow;
pub use step::Step;
pub use stored_job::StoredJob;
pub use stored_speed::StoredSpeed;
pub use task_bits::TaskBits;
pub use task_crashes::{CrashEvidence, TaskCrashes};
pub use task_name::{ParseTaskNameError, TaskName};
pub use trial::Trial;
pub use wave_row::{WaveFact, WaveRow};
pub use worker_entry::{EntryState, WorkerEntry};
pub use worker_report::{EndKind, RunEnd, RunningTask, WorkerReport};
pub use worker_tally::WorkerTally;
