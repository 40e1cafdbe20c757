use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::ser::SerializeStruct;
use serde::{Deserialize, Serialize, Serializer};

use crate::{CrashGroup, TaskBits, TaskCrashes, Trial};

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
    /// A task has used up its attempts, or crashed the workers that started it, or schedulers failed on the job.
    Failed,
    /// The caller cancelled the job.
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
    /// Indices of the tasks that are done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Failed runs by task; those of a gang are listed under its first task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failed: BTreeMap<u32, Vec<u64>>,
    /// Workers that crashed under a task, by task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub crashes: BTreeMap<u32, TaskCrashes>,
    /// Workers that crashed under tasks, beside those that `crashes` lists, in a form whose size has a bound. A release that
    /// does not know it counts these crashes as none; one that knows it uses it only if the row would be too large.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crash_groups: Vec<CrashGroup>,
    /// Runs on probation, by task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub trials: BTreeMap<u32, Trial>,
    /// Newest checkpoint by task; that of a gang is listed under its first task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, CompactString>,
}

impl StepProgress {
    /// Returns the tasks under which workers crashed, with their counts.
    pub fn all_crashes(&self) -> impl Iterator<Item = (u32, TaskCrashes)> + '_ {
        let listed = self.crashes.iter().map(|(index, crashes)| (*index, *crashes));
        let grouped = self.crash_groups.iter().flat_map(|group| {
            let tasks = group.tasks.numbers();
            tasks.map(|index| (index as u32, group.crashes))
        });
        listed.chain(grouped)
    }

    fn group_crashes(&mut self) {
        let mut groups: BTreeMap<TaskCrashes, TaskBits> = BTreeMap::new();
        for (index, crashes) in self.all_crashes() {
            groups.entry(crashes).or_default().insert(index as usize);
        }
        self.crashes.clear();
        let groups = groups.into_iter();
        self.crash_groups = groups.map(|(crashes, tasks)| CrashGroup { crashes, tasks }).collect();
    }
}

/// Durable progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Progress {
    /// State of the job as its caller sees it.
    #[serde(alias = "state_with_bits")]
    pub state: JobState,
    /// Queue of the job, to detect calls that name another one.
    pub route: CompactString,
    /// Organisation that owns the job.
    pub organisation: CompactString,
    /// Numbers of the tasks that are done, beside those that `steps` lists, counted as in
    /// [`Job::first_task_number`](crate::Job::first_task_number).
    #[serde(default)]
    pub done: TaskBits,
    /// Progress by occurrence and step; steps without progress are omitted.
    #[serde(default)]
    pub steps: BTreeMap<u32, BTreeMap<u32, StepProgress>>,
}

impl Progress {
    /// Returns the size of the row in the store.
    ///
    /// # Panics
    ///
    /// Never: rows have string keys and finite numbers.
    pub fn bytes(&self) -> usize {
        let row = serde_json::to_vec(self);
        row.expect("rows have string keys and finite numbers").len()
    }

    /// Groups tasks under which the same number of workers crashed, for a row that would be too large.
    pub fn group_crashes(&mut self) {
        let steps = self.steps.values_mut().flat_map(BTreeMap::values_mut);
        steps.for_each(StepProgress::group_crashes);
    }

    /// Drops the checkpoints, for a row that would be too large: the tasks then restart from the beginning.
    pub fn drop_checkpoints(&mut self) {
        for step in self.steps.values_mut().flat_map(BTreeMap::values_mut) {
            step.checkpoints.clear();
        }
    }

    /// Drops the runs on probation, for a row that would be too large: a successor then does not learn of a crash in their
    /// first moments.
    pub fn drop_trials(&mut self) {
        for step in self.steps.values_mut().flat_map(BTreeMap::values_mut) {
            step.trials.clear();
        }
    }
}

impl Serialize for Progress {
    /// Writes `state` under another name if there are bits: a release that does not know them cannot read the row then and
    /// leaves the job alone, rather than repeat the tasks that are done.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        const FIELDS_MAX: usize = 5;
        let has_bits = !self.done.is_empty();
        let mut row = serializer.serialize_struct("Progress", FIELDS_MAX)?;
        row.serialize_field(if has_bits { "state_with_bits" } else { "state" }, &self.state)?;
        row.serialize_field("route", &self.route)?;
        row.serialize_field("organisation", &self.organisation)?;
        if has_bits {
            row.serialize_field("done", &self.done)?;
        }
        if !self.steps.is_empty() {
            row.serialize_field("steps", &self.steps)?;
        }
        row.end()
    }
}
