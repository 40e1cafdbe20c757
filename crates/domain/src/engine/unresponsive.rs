use std::collections::HashMap;

use compact_str::CompactString;
use indexmap::IndexMap;

use super::keys::RunKey;
use super::{Engine, Run, RunTask, Worker, WorkerKey};
use crate::{Commit, LastRuns, Limits, TaskRun};

/// What the store may hold about the runs of a worker.
#[derive(Debug, Clone, Default)]
struct StoredRow {
    /// Runs in the row, if that is known.
    runs: Option<Vec<TaskRun>>,
    /// The row may say when the leases end, so that they must not be renewed.
    may_limit_leases: bool,
    /// When the last write of the row began.
    written_ms: u64,
}

/// Rows about the last runs of workers.
#[derive(Debug, Clone, Default)]
pub(super) struct LastRunRows {
    rows: IndexMap<CompactString, StoredRow>,
    /// Rows of former epochs, until all jobs are read.
    former: Vec<(CompactString, LastRuns)>,
    /// When workers that have not replied count as unresponsive; `None` once their runs are recalled.
    recall_ms: Option<u64>,
    /// A row has to be written or removed.
    pub is_due: bool,
    /// Starts wait for a row.
    pub awaits_rows: bool,
}

impl LastRunRows {
    /// Returns whether the store may hold a row about a worker that says when its leases end; nothing may start there and
    /// no lease may be renewed until that is certainly not so.
    pub fn may_limit_leases(&self, worker: &CompactString) -> bool {
        self.rows.get(worker).is_some_and(|row| row.may_limit_leases)
    }

    /// Returns whether the store holds a row about a worker that contains a run.
    pub fn contains(&self, worker: &CompactString, run: &TaskRun) -> bool {
        let row = self.rows.get(worker).and_then(|row| row.runs.as_ref());
        row.is_some_and(|runs| runs.contains(run))
    }

    /// Takes note of a durable write.
    pub fn committed(&mut self, commit: &Commit) {
        for (id, last) in &commit.last_runs {
            let row = self.rows.entry(id.clone()).or_default();
            row.runs = Some(last.runs.clone());
            row.may_limit_leases = last.lease_left_ms.is_some();
        }
        for id in &commit.remove_last_runs {
            self.rows.shift_remove(id);
        }
    }
}

/// Unresponsive workers across a takeover.
///
/// A successor does not know what a worker runs that does not reply. The row of the worker lists its runs. If it stays
/// unresponsive, the scheduler adds to the row when its leases end, and neither renews them nor starts anything there until
/// the row is written anew or its removal is durable.
impl Engine {
    /// Time from the first failed renewal after which the runs of a worker are written. One that replies sooner gets tasks
    /// at once, without waiting for the removal of a row.
    const UNRESPONSIVE_MS: u64 = 2_000;

    /// Interval of writing anew how long the leases of an unresponsive worker last: a successor counts that time from its
    /// takeover, as it does not know when the row was written.
    const REFRESH_MS: u64 = 400;

    /// Maximum number of rows about last runs in one write, so that jobs do not wait while a whole data centre is cut off.
    const LAST_RUNS_PER_COMMIT: usize = 40;

    /// Entries of a write that are left to the progress of jobs.
    const JOB_ENTRIES: usize = 30;

    /// Maximum number of runs in a row; while a worker has more, starts are not listed.
    pub(super) const MAX_LAST_RUNS: usize = 500;

    /// Maximum number of runs in the rows of one write.
    const LAST_RUN_ENTRIES: usize = 2_000;

    /// Time after which a successor takes the runs of a worker from its row, as the worker has not replied.
    const RECALL_AFTER_MS: u64 = 500;

    /// Adds the rows that former schedulers wrote. Call it before [`Engine::set_loaded`].
    pub fn add_last_runs(&mut self, rows: Vec<(CompactString, LastRuns)>) {
        for (id, last) in rows {
            let may_limit_leases = last.lease_left_ms.is_some();
            let row = StoredRow {
                // The row of an unresponsive worker is written anew in each epoch.
                runs: Some(last.runs.clone()).filter(|_| !may_limit_leases),
                may_limit_leases,
                written_ms: 0,
            };
            self.last_runs.rows.insert(id.clone(), row);
            self.last_runs.former.push((id, last));
        }
    }

    /// Adds the runs on workers that were unresponsive before the takeover, as soon as all jobs are read.
    pub(super) fn recall_unresponsive(&mut self, now_ms: u64) {
        self.last_runs.recall_ms = Some(now_ms + Self::RECALL_AFTER_MS);
        let former = std::mem::take(&mut self.last_runs.former);
        self.add_former_runs(&former);
        let (unresponsive, others) = former.into_iter().partition(|(_, last)| last.lease_left_ms.is_some());
        self.last_runs.former = others;
        self.recall_last_runs(unresponsive, now_ms);
    }

    /// Adds the runs on workers that have not replied for some time after the takeover.
    pub(super) fn recall_silent(&mut self, now_ms: u64) {
        if self.last_runs.recall_ms.take_if(|at_ms| now_ms >= *at_ms).is_none() {
            return;
        }
        let former = std::mem::take(&mut self.last_runs.former);
        if !self.start_bound.did_list_runs() {
            return;
        }
        self.recall_last_runs(former, now_ms);
        for worker in self.workers.values_mut() {
            // Nothing was ever started on a worker without a row.
            worker.has_known_runs |=
                worker.may_hold_unreported_runs() && !self.last_runs.rows.contains_key(&worker.entry.id);
        }
    }

    /// Adds the runs in the rows of workers which have not replied to this scheduler.
    ///
    /// Unless the former schedulers listed all their starts, only the rows of unresponsive workers count, and only those of
    /// the epoch before this one: a scheduler in between may have used the worker again. It has written the row anew
    /// otherwise.
    fn recall_last_runs(&mut self, former: Vec<(CompactString, LastRuns)>, now_ms: u64) {
        let (mut known, mut held) = (0, 0);
        for (id, last) in former {
            let Some(key) = self.worker_ids.get(&id).copied() else {
                continue;
            };
            let is_trusted =
                self.start_bound.did_list_runs() || (last.lease_left_ms.is_some() && last.epoch + 1 == self.epoch);
            let is_known = is_trusted
                && self.workers[key].may_hold_unreported_runs()
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
        let slot = if is_gang { 0 } else { name.index as usize };
        let has_ended = state.failed[slot].contains(&task_run.run);
        if has_ended || (is_gang && state.gang_run.is_some_and(|run| run > task_run.run)) {
            return false;
        }
        let is_gang_ending = state.is_gang_ending;
        let is_suspect = state.is_suspect(name.index);
        let run = Run {
            task: Some(RunTask {
                job,
                occurrence: name.occurrence,
                step: name.step,
                index: name.index,
            }),
            need,
            is_recalled: true,
            is_suspect,
            // The former scheduler counted the crashes that it knew of; those under a run on probation are in its trial.
            is_crash_counted: true,
            last_listed_ms: None,
            is_listed: self.last_runs.contains(&self.workers[worker].entry.id, task_run),
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
        if is_gang_ending {
            self.stop_run(key, now_ms);
        }
        true
    }

    /// Checks whether a row about last runs has to be written or removed.
    pub(super) fn check_last_runs(&mut self, now_ms: u64) {
        self.last_runs.is_due = self.last_runs.rows.keys().any(|id| self.is_row_outdated(id))
            || self.workers.values().any(|worker| self.needs_row(worker, now_ms));
    }

    /// Returns whether a row has to be removed: its worker has no runs and needs no row.
    fn is_row_outdated(&self, id: &CompactString) -> bool {
        let worker = self.worker_ids.get(id).map(|key| &self.workers[*key]);
        worker.is_none_or(|worker| {
            let replies = worker.is_fenced && worker.unresponsive_since_ms.is_none();
            !worker.is_recorded
                || (replies
                    && worker.runs.is_empty()
                    && self.former_runs_of(worker).next().is_none()
                    && self.last_runs.may_limit_leases(id))
        })
    }

    /// Returns whether the runs of a worker have to be written.
    fn needs_row(&self, worker: &Worker, now_ms: u64) -> bool {
        let is_too_large = worker.runs.len() > Self::MAX_LAST_RUNS;
        if !worker.is_recorded || is_too_large || !Self::knows_runs_of(worker, now_ms) {
            return false;
        }
        let row = self.last_runs.rows.get(&worker.entry.id);
        let may_limit_leases = row.is_some_and(|row| row.may_limit_leases);
        let Some(noticed_ms) = worker.noticed_silent_ms else {
            let is_due =
                (worker.unlisted_runs > 0 || worker.is_row_outdated) && self.start_bound.requires_listing(now_ms);
            return worker.is_fenced && (is_due || (may_limit_leases && !worker.runs.is_empty()));
        };
        let Some(row) = row.filter(|row| row.may_limit_leases) else {
            return now_ms >= noticed_ms + Self::UNRESPONSIVE_MS;
        };
        let Some(durable) = &row.runs else { return true };
        let mut runs = worker
            .runs
            .iter()
            .map(|key| &self.runs[*key].id)
            .chain(self.former_runs_of(worker));
        let is_old = now_ms >= row.written_ms + Self::REFRESH_MS && now_ms < worker.lease_expiry_ms;
        (is_old && !worker.runs.is_empty())
            || durable.len() != worker.runs.len() + self.former_runs_of(worker).count()
            || !runs.all(|run| durable.contains(run))
    }

    /// Adds the rows that are due to a write: first those for which starts wait, in the order of the queue, then of workers
    /// that reply, then of those about which the store holds no row of this epoch. Removals take at most half.
    pub(super) fn add_last_runs_to(&mut self, commit: &mut Commit, now_ms: u64) {
        if !std::mem::take(&mut self.last_runs.is_due) && !self.last_runs.awaits_rows {
            return;
        }
        let used = commit.entries() + Commit::REVISION_ENTRIES + Self::JOB_ENTRIES;
        let most = Self::LAST_RUNS_PER_COMMIT.min(Commit::MAX_ENTRIES.saturating_sub(used));
        let ids = self.last_runs.rows.keys();
        let outdated = ids.filter(|id| self.is_row_outdated(id));
        commit.remove_last_runs = outdated.take(most / 2).cloned().collect();
        let mut ranks = HashMap::new();
        for (rank, start) in self.listed_starts.iter().enumerate() {
            if let Some(run) = self.runs.get(start.run) {
                ranks.entry(run.worker).or_insert(rank);
            }
        }
        let mut due: Vec<(WorkerKey, &Worker)> = self
            .workers
            .iter()
            .filter(|(_, worker)| self.needs_row(worker, now_ms))
            .collect();
        due.sort_by_key(|(key, worker)| {
            let row = self.last_runs.rows.get(&worker.entry.id);
            let has_silence_row = row.is_some_and(|row| row.may_limit_leases && row.runs.is_some());
            let rank = ranks.get(key).copied().unwrap_or(usize::MAX);
            (
                rank,
                worker.noticed_silent_ms.is_some(),
                has_silence_row,
                worker.noticed_silent_ms,
            )
        });
        due.truncate(most - commit.remove_last_runs.len());
        let mut entries = 0;
        let rows = due.into_iter().map_while(|(_, worker)| {
            entries += worker.runs.len();
            let is_first = entries == worker.runs.len();
            (is_first || entries <= Self::LAST_RUN_ENTRIES).then(|| self.last_runs_row(worker, now_ms))
        });
        commit.last_runs = rows.collect();
        for (id, last) in &commit.last_runs {
            // The write may take effect although it seems to fail.
            let row = self.last_runs.rows.entry(id.clone()).or_default();
            row.runs = None;
            row.written_ms = now_ms;
            if last.lease_left_ms.is_some() && !std::mem::replace(&mut row.may_limit_leases, true) {
                self.log_lines
                    .push(format!("last_runs_written worker={id} runs={}", last.runs.len()));
            }
        }
    }

    fn last_runs_row(&self, worker: &Worker, now_ms: u64) -> (CompactString, LastRuns) {
        let runs = worker.runs.iter().map(|key| &self.runs[*key].id);
        let runs = runs.chain(self.former_runs_of(worker)).cloned();
        let lease_left_ms = worker.lease_expiry_ms.saturating_sub(now_ms);
        let last = LastRuns {
            epoch: self.epoch,
            runs: runs.collect(),
            lease_left_ms: worker.noticed_silent_ms.map(|_| lease_left_ms),
        };
        (worker.entry.id.clone(), last)
    }
}
