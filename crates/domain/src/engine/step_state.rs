use std::collections::BTreeMap;

use compact_str::CompactString;

use super::keys::RunKey;
use crate::{StepProgress, TaskCrashes, Trial};

/// Live state of a step of an occurrence.
#[derive(Debug, Clone, Default)]
pub(super) struct StepState {
    pub done: Vec<bool>,
    pub done_count: u32,
    /// Runs that failed, by task; a gang counts under its first task.
    pub failed: Vec<Vec<u64>>,
    /// Workers that crashed under a task, by task; tasks without any are omitted.
    pub crashes: BTreeMap<u32, TaskCrashes>,
    /// Runs on probation, by task.
    pub trials: BTreeMap<u32, Trial>,
    /// Time until which a suspect task waits for the outcome of a process that was lost under it, by task.
    pub held_until_ms: BTreeMap<u32, u64>,
    /// Newest checkpoint, by task; a gang keeps one under its first task.
    pub checkpoints: Vec<Option<CompactString>>,
    pub active: Vec<Option<RunKey>>,
    pub active_count: u32,
    /// Highest run number given to a task of the step.
    pub last_run: u64,
    /// Run of the gang that is starting or running.
    pub gang_run: Option<u64>,
    /// The gang is being stopped because a member ended or cannot start.
    pub is_gang_ending: bool,
    /// No task starts before this time, after a rejected start.
    pub not_before_ms: u64,
    /// Workers on which a run failed or was slow, newest last.
    pub failed_on: Vec<CompactString>,
    pub ready_since_ms: Option<u64>,
    /// Since when its turn has come and nothing runs: of its job, or of its own tasks one if they run until cancelled.
    pub idle_since_ms: Option<u64>,
    /// When preemption was last attempted for the step.
    pub preemption_attempt_ms: u64,
    pub has_started: bool,
    /// One of its runs was moved because it appeared slow.
    pub has_moved: bool,
}

impl StepState {
    pub fn new(count: u32, progress: Option<&StepProgress>) -> Self {
        let count = count as usize;
        let mut state = Self {
            done: vec![false; count],
            failed: vec![Vec::new(); count],
            checkpoints: vec![None; count],
            active: vec![None; count],
            ..Self::default()
        };
        let Some(progress) = progress else { return state };
        for index in &progress.done {
            state.set_done(*index as usize);
        }
        for (index, runs) in &progress.failed {
            if let Some(slot) = state.failed.get_mut(*index as usize) {
                slot.clone_from(runs);
            }
        }
        state.crashes = progress
            .all_crashes()
            .filter(|(index, _)| (*index as usize) < count)
            .collect();
        for (index, checkpoint) in &progress.checkpoints {
            if let Some(slot) = state.checkpoints.get_mut(*index as usize) {
                *slot = Some(checkpoint.clone());
            }
        }
        state
    }

    pub fn is_done(&self) -> bool {
        self.done_count as usize == self.done.len()
    }

    pub fn set_done(&mut self, index: usize) {
        if let Some(done) = self.done.get_mut(index)
            && !*done
        {
            *done = true;
            self.done_count += 1;
        }
    }

    /// Returns the tasks that are neither done nor active.
    pub fn idle(&self) -> impl Iterator<Item = u32> + '_ {
        let is_idle = |index: &usize| !self.done[*index] && self.active[*index].is_none();
        (0..self.done.len()).filter(is_idle).map(|index| index as u32)
    }

    pub fn idle_count(&self) -> u32 {
        // A task that is done may still have an outdated run that is being stopped.
        (self.done.len() as u32).saturating_sub(self.done_count + self.active_count)
    }

    /// Returns whether a task may have crashed workers.
    pub fn is_suspect(&self, index: u32) -> bool {
        self.crashes.get(&index).is_some_and(TaskCrashes::is_suspect)
    }

    /// Returns whether a task that is not done may have crashed workers.
    pub fn has_suspects(&self) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|(index, crashes)| crashes.is_suspect() && !self.done[*index as usize])
    }

    pub fn clear_active(&mut self, index: u32, run: RunKey) {
        let slot = &mut self.active[index as usize];
        if *slot == Some(run) {
            *slot = None;
            self.active_count -= 1;
            if self.active_count == 0 {
                self.gang_run = None;
                self.is_gang_ending = false;
            }
        }
    }

    /// Returns whether a task waits for the outcome of a lost process.
    pub fn is_held(&self, index: u32, now_ms: u64) -> bool {
        self.held_until_ms
            .get(&index)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Ends the trial of a run.
    pub fn end_trial(&mut self, index: u32, run: u64) {
        if self.trials.get(&index).is_some_and(|trial| trial.run == run) {
            self.trials.remove(&index);
        }
    }

    pub fn set_active(&mut self, index: u32, run: RunKey) {
        if self.active[index as usize].replace(run).is_none() {
            self.active_count += 1;
        }
        self.has_started = true;
    }

    pub fn progress(&self) -> StepProgress {
        let indices = || 0..self.done.len();
        let done = indices()
            .filter(|index| self.done[*index])
            .map(|index| index as u32)
            .collect();
        let failed = indices()
            .filter(|index| !self.done[*index] && !self.failed[*index].is_empty())
            .map(|index| (index as u32, self.failed[index].clone()))
            .collect();
        let crashes = self
            .crashes
            .iter()
            .filter(|(index, _)| !self.done[**index as usize])
            .map(|(index, crashes)| (*index, *crashes))
            .collect();
        let checkpoints = indices()
            .filter(|index| !self.done[*index])
            .filter_map(|index| Some((index as u32, self.checkpoints[index].clone()?)))
            .collect();
        StepProgress {
            done,
            failed,
            crashes,
            crash_groups: Vec::new(),
            trials: self.trials.clone(),
            checkpoints,
        }
    }
}
