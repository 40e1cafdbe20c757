use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// State of a job as its caller sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Done,
    /// A task has failed as often as it may.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether the state is final.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// Durable progress of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Tasks that are done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Runs that failed, by task; a gang counts under its first task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failed: BTreeMap<u32, Vec<u64>>,
    /// Newest checkpoint, by task; a gang keeps one under its first task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, CompactString>,
}

impl Progress {
    /// Returns the progress without checkpoints, for a row that would be too large. Work then resumes from the start.
    #[must_use]
    pub fn without_checkpoints(mut self) -> Self {
        for step in self.steps.values_mut().flat_map(BTreeMap::values_mut) {
            step.checkpoints.clear();
        }
        self
    }
}

/// Durable progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// State as the caller sees it.
    pub state: JobState,
    /// Queue of the job, for calls that name another one.
    pub route: CompactString,
    /// Owner of the job.
    pub organisation: CompactString,
    /// Steps by occurrence and number; steps without progress are left out.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub steps: BTreeMap<u32, BTreeMap<u32, StepProgress>>,
}
