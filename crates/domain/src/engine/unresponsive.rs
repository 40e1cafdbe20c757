use compact_str::CompactString;
use indexmap::IndexMap;

use super::keys::RunKey;
use super::{Engine, Run, Worker, WorkerKey};
use crate::{Commit, LastRuns, Limits, TaskRun};

/// Rows about the last runs of unresponsive workers.
#[derive(Debug, Clone, Default)]
pub(super) struct LastRunRows {
    /// Workers about which the store may hold a row. The runs are those of the durable row of this epoch, if it is known.
    rows: IndexMap<CompactString, Option<Vec<TaskRun>>>,
    /// Rows of former epochs, until all jobs are read.
    former: Vec<(CompactString, LastRuns)>,
    /// A row has to be written or removed.
    pub is_due: bool,
}

impl LastRunRows {
    /// Returns whether the store may hold a row about a worker; nothing may start there until its removal is durable.
    pub fn may_contain(&self, worker: &CompactString) -> bool {
        self.rows.contains_key(worker)
    }

    /// Takes note of a durable write.
    pub fn committed(&mut self, commit: &Commit) {
        for (id, last) in &commit.last_runs {
            self.rows.insert(id.clone(), Some(last.runs.clone()));
        }
        for id in &commit.remove_last_runs {
            self.rows.shift_remove(id);
        }
    }
}

/// Unresponsive workers across a takeover.
///
/// A successor does not know what a worker runs that does not reply, so it would have to keep every job from starting
/// that a former scheduler may have started there. The scheduler therefore writes down the runs of a worker that stays
/// unresponsive, and starts nothing there until the removal of that row is durable.
impl Engine {
    /// Time from the first failed renewal after which the runs of a worker are written. One that replies sooner gets tasks
    /// at once, without waiting for the removal of a row.
    const UNRESPONSIVE_MS: u64 = 2_000;

    /// Maximum number of rows about last runs in one write, so that jobs do not wait while a whole data centre is cut off.
    const LAST_RUNS_PER_COMMIT: usize = 40;

    /// Entries of a write that are left to the progress of jobs.
    const JOB_ENTRIES: usize = 30;

    /// Maximum number of runs in a row; of a worker with more, a successor knows nothing.
    const MAX_LAST_RUNS: usize = 200;

    /// Adds the rows that former schedulers wrote. Call it before [`Engine::set_loaded`].
    pub fn add_last_runs(&mut self, rows: Vec<(CompactString, LastRuns)>) {
        for (id, last) in rows {
            self.last_runs.rows.insert(id.clone(), None);
            self.last_runs.former.push((id, last));
        }
    }

    /// Adds the runs that the former scheduler wrote down for workers which have not replied to this one.
    ///
    /// Only rows of the epoch before this one count: a scheduler in between may have used the worker again. It has written
    /// the row anew otherwise.
    pub(super) fn recall_last_runs(&mut self, now_ms: u64) {
        let former = std::mem::take(&mut self.last_runs.former);
        let (mut known, mut held) = (0, 0);
        for (id, last) in former {
            let Some(key) = self.worker_ids.get(&id).copied() else {
                continue;
            };
            let is_known = self.workers[key].may_hold_unreported_runs()
                && last.epoch + 1 == self.epoch
                && !last.runs.iter().any(|run| self.is_of_unopened_occurrence(run));
            if !is_known {
                continue;
            }
            let worker = &mut self.workers[key];
            worker.has_known_runs = true;
            if let Some(left_ms) = last.lease_left_ms {
                let left_ms = (left_ms as f64 / (1.0 - Limits::CLOCK_DRIFT)) as u64;
                worker.lease_expiry_ms = worker.lease_expiry_ms.min(now_ms + left_ms);
            }
            known += 1;
            for run in &last.runs {
                held += u32::from(self.recall_last_run(key, run, now_ms));
            }
        }
        let unknown = self.workers.values().filter(|worker| worker.may_hold_unreported_runs());
        let unknown = unknown.count();
        if known > 0 {
            self.log_lines.push(format!(
                "last_runs_read workers={known} held_tasks={held} other_workers={unknown}"
            ));
        }
    }

    /// Returns whether a run belongs to an occurrence that opens later, since this scheduler's clock is behind.
    fn is_of_unopened_occurrence(&self, run: &TaskRun) -> bool {
        let Ok(name) = run.task.parse::<crate::TaskName>() else {
            return false;
        };
        let Some(key) = self.job_ids.get(&name.job) else {
            return false;
        };
        let job = &self.jobs[*key];
        !job.is_final() && name.occurrence >= job.next_occurrence
    }

    /// Adds a run that the former scheduler wrote down; returns whether its task waits for it.
    fn recall_last_run(&mut self, worker: WorkerKey, task_run: &TaskRun, now_ms: u64) -> bool {
        if self.run_keys.contains_key(task_run) {
            return true;
        }
        self.drop_outdated_trials(task_run, now_ms);
        let Some((job, name)) = self.adoptable_task(task_run) else {
            return false;
        };
        let shape = &self.jobs[job].spec.steps[name.step as usize];
        let (need, is_gang) = (shape.charged(), shape.is_gang);
        let Some(state) = self.step_mut(job, name.occurrence, name.step) else {
            return false;
        };
        if is_gang && state.gang_run.is_some_and(|run| run > task_run.run) {
            return false;
        }
        let is_suspect = state.is_suspect(name.index);
        let run = Run {
            job,
            occurrence: name.occurrence,
            step: name.step,
            index: name.index,
            need,
            is_unwanted: false,
            is_recalled: true,
            is_suspect,
            // The former scheduler counted the crashes that it knew of; those under a run on probation are in its trial.
            is_crash_counted: true,
            last_listed_ms: None,
            ..Run::of_former_epoch(task_run.clone(), worker, now_ms)
        };
        let key: RunKey = self.add_run(run);
        if let Some(state) = self.step_mut(job, name.occurrence, name.step) {
            state.set_active(name.index, key);
            state.last_run = state.last_run.max(task_run.run);
            if is_gang {
                state.gang_run = Some(task_run.run);
            }
        }
        true
    }

    /// Checks whether a row about last runs has to be written or removed.
    pub(super) fn check_last_runs(&mut self, now_ms: u64) {
        self.last_runs.is_due = self.last_runs.rows.keys().any(|id| self.is_row_outdated(id))
            || self.workers.values().any(|worker| self.needs_row(worker, now_ms));
    }

    /// Returns whether a row has to be removed: its worker replies, or cannot have runs any more.
    fn is_row_outdated(&self, id: &CompactString) -> bool {
        let worker = self.worker_ids.get(id).map(|key| &self.workers[*key]);
        worker.is_none_or(|worker| !worker.is_recorded || (worker.is_fenced && worker.unresponsive_since_ms.is_none()))
    }

    /// Returns whether the runs of a worker have to be written: it is unresponsive, and all that may be on it is known.
    fn needs_row(&self, worker: &Worker, now_ms: u64) -> bool {
        let Some(noticed_ms) = worker.noticed_silent_ms.filter(|_| worker.is_recorded) else {
            return false;
        };
        let is_known = worker.is_fenced || worker.has_known_runs || now_ms > worker.lease_expiry_ms;
        if !is_known || worker.runs.len() > Self::MAX_LAST_RUNS {
            return false;
        }
        match self.last_runs.rows.get(&worker.entry.id) {
            None => now_ms >= noticed_ms + Self::UNRESPONSIVE_MS,
            Some(None) => true,
            Some(Some(durable)) => {
                let runs = || worker.runs.iter().map(|key| &self.runs[*key].id);
                durable.len() != worker.runs.len() || !runs().all(|run| durable.contains(run))
            }
        }
    }

    /// Adds the rows that are due to a write: first removals, after which workers get tasks again, then workers about which
    /// the store holds no row of this epoch.
    pub(super) fn add_last_runs_to(&mut self, commit: &mut Commit, now_ms: u64) {
        if !std::mem::take(&mut self.last_runs.is_due) {
            return;
        }
        let used = commit.entries() + Commit::REVISION_ENTRIES + Self::JOB_ENTRIES;
        let most = Self::LAST_RUNS_PER_COMMIT.min(Commit::MAX_ENTRIES.saturating_sub(used));
        let ids = self.last_runs.rows.keys();
        commit.remove_last_runs = ids.filter(|id| self.is_row_outdated(id)).take(most).cloned().collect();
        let mut due: Vec<&Worker> = self
            .workers
            .values()
            .filter(|worker| self.needs_row(worker, now_ms))
            .collect();
        due.sort_by_key(|worker| matches!(self.last_runs.rows.get(&worker.entry.id), Some(Some(_))));
        due.truncate(most - commit.remove_last_runs.len());
        commit.last_runs = due
            .into_iter()
            .map(|worker| {
                let runs = worker.runs.iter().map(|key| self.runs[*key].id.clone());
                let last = LastRuns {
                    epoch: self.epoch,
                    runs: runs.collect(),
                    lease_left_ms: Some(worker.lease_expiry_ms.saturating_sub(now_ms)),
                };
                (worker.entry.id.clone(), last)
            })
            .collect();
        for (id, last) in &commit.last_runs {
            // The write may take effect although it seems to fail.
            self.last_runs.rows.insert(id.clone(), None);
            self.log_lines
                .push(format!("last_runs_written worker={id} runs={}", last.runs.len()));
        }
    }
}
