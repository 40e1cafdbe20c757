use std::collections::BTreeMap;
use std::rc::Rc;

use super::step_state::StepState;
use crate::{Job, JobState, Progress, RunRecord, StepProgress, TaskBits};

/// Occurrence of a job; a job without a schedule has exactly one.
#[derive(Debug, Clone)]
pub(super) struct Occurrence {
    pub steps: Vec<StepState>,
    /// When it became due, on the scheduler's clock.
    pub due_ms: u64,
}

impl Occurrence {
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

/// Scheduler's state of a job.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "the facts are independent of each other")]
pub(super) struct JobEntry {
    pub spec: Rc<Job>,
    pub state: JobState,
    /// Store version of the transaction that inserted it.
    pub inserted_version: u64,
    /// Version of its progress row.
    pub version: u64,
    pub occurrences: BTreeMap<u32, Occurrence>,
    pub next_occurrence: u32,
    pub is_cancelled: bool,
    /// Time of its acceptance, on the scheduler's clock.
    pub accepted_ms: u64,
    /// Its caller waits for a change that is not written yet.
    pub is_urgent: bool,
    /// A crash under one of its tasks is not durable yet; none of its tasks starts.
    pub has_unsaved_crash: bool,
    /// Its last progress row was too large with all it holds.
    pub is_row_reduced: bool,
    /// Progress as it was read from the store, for occurrences that are not open in memory.
    pub loaded: Option<Progress>,
    pub dirty_since_ms: Option<u64>,
    /// Runs that ended and are not durable yet.
    pub records: Vec<RunRecord>,
    /// Number of record rows that this epoch wrote.
    pub record_rows: u32,
}

impl JobEntry {
    /// Number of tasks of a scheduled job that are done from which bits replace their list, which releases without bits
    /// read as well. The list takes a few ten bytes for each task.
    const LISTED_TASKS_MAX: u32 = 500;

    pub const fn is_final(&self) -> bool {
        self.state.is_final() || self.is_cancelled
    }

    pub fn progress(&self) -> Progress {
        let mut progress = self.loaded.clone().unwrap_or_default();
        progress.state = self.state;
        progress.route.clone_from(&self.spec.route);
        progress.organisation.clone_from(&self.spec.organisation);
        if self.state.is_final() {
            progress.done = TaskBits::default();
            progress.steps.clear();
            return progress;
        }
        let has_bits = !progress.done.is_empty() || self.done_tasks() > Self::LISTED_TASKS_MAX;
        for (number, occurrence) in &self.occurrences {
            let mut steps = BTreeMap::new();
            let mut first_task = self.spec.first_task_number(*number);
            for (step, state) in (0..).zip(&occurrence.steps) {
                let mut step_progress = state.progress();
                if has_bits {
                    for index in step_progress.done.drain(..) {
                        progress.done.insert(first_task + index as usize);
                    }
                    first_task += state.done.len();
                }
                if step_progress != StepProgress::default() {
                    steps.insert(step, step_progress);
                }
            }
            if steps.is_empty() {
                progress.steps.remove(number);
            } else {
                progress.steps.insert(*number, steps);
            }
        }
        progress
    }

    /// Returns the steps of an occurrence as of the progress that was read from the store.
    pub fn loaded_steps(&self, number: u32) -> Vec<StepState> {
        let loaded = self.loaded.as_ref();
        let progress = loaded.and_then(|loaded| loaded.steps.get(&number));
        let mut first_task = self.spec.first_task_number(number);
        let mut steps = Vec::with_capacity(self.spec.steps.len());
        for (step, shape) in (0..).zip(&self.spec.steps) {
            let mut state = StepState::new(shape.count, progress.and_then(|steps| steps.get(&step)));
            let is_done = |index: &usize| loaded.is_some_and(|loaded| loaded.done.contains(first_task + index));
            (0..shape.count as usize)
                .filter(is_done)
                .for_each(|index| state.set_done(index));
            first_task += shape.count as usize;
            steps.push(state);
        }
        steps
    }

    /// Returns the number of tasks that are done, in all open occurrences of a scheduled job.
    fn done_tasks(&self) -> u32 {
        if self.spec.times == 0 {
            return 0;
        }
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        steps.map(|step| step.done_count).sum()
    }
}
