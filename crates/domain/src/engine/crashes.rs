use std::collections::HashMap;

use compact_str::CompactString;

use super::candidate::Candidate;
use super::keys::{JobKey, RunKey, WorkerKey};
use super::queue::PlacementUnit;
use super::{Engine, Run, RunTask};
use crate::{CrashEvidence, TaskCrashes, TaskName, TaskRun, Trial, WorkerEntry};

/// Run that may have crashed its worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectRun {
    task: RunTask,
    run: u64,
    evidence: CrashEvidence,
    /// Its task was a suspect before.
    was_suspect: bool,
}

/// Worker process that was unresponsive until its leases expired: whether it crashed shows when it answers again, or
/// another process does at its address.
#[derive(Debug, Clone)]
struct LostProcess {
    worker: CompactString,
    started_unix_ms: Option<u64>,
    lost_ms: u64,
    runs: Vec<SuspectRun>,
}

/// Processes that were lost, by address.
#[derive(Debug, Clone, Default)]
pub(super) struct LostProcesses(HashMap<CompactString, LostProcess>);

/// Tasks that crash the workers that start them.
///
/// A crash does not show which run caused it, so it counts against all runs on the worker, and more against those that
/// had just started. A suspect task starts alone: until its run has been listed for the probation, nothing else starts on
/// its worker, so that a second crash has only one possible cause.
impl Engine {
    /// Time for which reports must have listed a run before the earlier crashes of its task are forgotten.
    const SURVIVAL_MS: u64 = 30_000;

    /// Time for which a task with one crash waits for the outcome of another process that was lost under it; callers miss
    /// a job that has nothing running for longer. After more crashes, the wait is as long as a lease.
    const HOLD_MS: u64 = 2_500;

    /// Time for which a lost process is remembered.
    const LOST_PROCESS_RETENTION_MS: u64 = 60_000;

    /// Keeps what ran on a lost process until another one answers at its address, or it answers itself. `runs` is empty if
    /// the crash is certain and was counted.
    pub(super) fn remember_lost_process(&mut self, key: WorkerKey, runs: Vec<SuspectRun>, now_ms: u64) {
        let worker = &self.workers[key];
        if runs.is_empty() && self.lost_processes.0.contains_key(&worker.entry.address) {
            // Its runs were lost before, and their outcome is still not known.
            return;
        }
        let longest_hold_ms = self.limits.lease_expiry_ms();
        let (id, process_started_unix_ms) = (worker.entry.id.clone(), worker.process_started_unix_ms);
        for run in &runs {
            let Some(state) = self.step_of_task_mut(run.task) else {
                continue;
            };
            if let Some(crashes) = state
                .crashes
                .get(&run.task.index)
                .filter(|crashes| crashes.is_suspect())
            {
                let hold_ms = if crashes.total > 1 {
                    longest_hold_ms
                } else {
                    Self::HOLD_MS
                };
                state.held_until_ms.insert(run.task.index, now_ms + hold_ms);
            }
            // The trial goes on, so that a successor learns of it as well.
            if run.evidence != CrashEvidence::Confirmed {
                state.trials.entry(run.task.index).or_insert_with(|| Trial {
                    run: run.run,
                    worker: id.clone(),
                    process_started_unix_ms,
                });
            }
        }
        let worker = &self.workers[key];
        let lost = LostProcess {
            worker: worker.entry.id.clone(),
            started_unix_ms: worker.process_started_unix_ms,
            lost_ms: now_ms,
            runs,
        };
        self.lost_processes.0.insert(worker.entry.address.clone(), lost);
    }

    /// Counts a crash if the process that now answers at the address of a lost one is another one.
    pub(super) fn resolve_lost_process(&mut self, key: WorkerKey, started_unix_ms: Option<u64>, now_ms: u64) {
        if self.lost_processes.0.is_empty() || !self.is_lease_certain(now_ms) {
            return;
        }
        let Some(worker) = self.workers.get(key) else { return };
        let Some(lost) = self.lost_processes.0.remove(&worker.entry.address) else {
            return;
        };
        let is_other_process = lost.worker != worker.entry.id
            || matches!((lost.started_unix_ms, started_unix_ms), (Some(old), Some(new)) if old < new);
        self.end_trials(&lost.runs);
        if is_other_process {
            self.workers[key].has_crashed = true;
            self.count_crash(&lost.runs, &lost.worker, now_ms);
        }
    }

    /// Counts a crash of a process that was lost before and has certainly ended.
    pub(super) fn conclude_lost_process(&mut self, worker: &WorkerEntry, now_ms: u64) {
        let is_its = |lost: &LostProcess| lost.worker == worker.id;
        if self.lost_processes.0.get(&worker.address).is_some_and(is_its)
            && let Some(lost) = self.lost_processes.0.remove(&worker.address)
        {
            self.end_trials(&lost.runs);
            self.count_crash(&lost.runs, &lost.worker, now_ms);
        }
    }

    /// Forgets processes that were lost long ago.
    pub(super) fn forget_lost_processes(&mut self, now_ms: u64) {
        let is_old = |lost: &LostProcess| now_ms >= lost.lost_ms + Self::LOST_PROCESS_RETENTION_MS;
        let old: Vec<_> = self.lost_processes.0.extract_if(|_, lost| is_old(lost)).collect();
        for (_, lost) in old {
            self.end_trials(&lost.runs);
        }
    }

    /// Ends the trials and waits of runs whose process is known to have crashed or not.
    fn end_trials(&mut self, runs: &[SuspectRun]) {
        for run in runs {
            if let Some(state) = self.step_of_task_mut(run.task) {
                state.held_until_ms.remove(&run.task.index);
                state.end_trial(run.task.index, run.run);
            }
        }
        self.is_schedule_due |= !runs.is_empty();
    }

    /// Returns whether a worker ends by plan, so that its end is no crash.
    pub(super) fn ends_by_plan(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.draining_since_ms.is_some() || worker.was_former_draining || self.waves.is_cordoned(&worker.entry.id)
    }

    /// Returns the runs that may have crashed their worker, out of those that were lost with it.
    pub(super) fn suspect_runs(&self, runs: &[RunKey]) -> Vec<SuspectRun> {
        runs.iter()
            .filter_map(|key| self.runs.get(*key))
            .filter(|run| !run.is_crash_counted && !run.is_unsent)
            .filter_map(|run| {
                Some(SuspectRun {
                    task: run.task?,
                    run: run.id.run,
                    evidence: self.evidence_against(run),
                    was_suspect: run.is_suspect,
                })
            })
            .collect()
    }

    /// Counts a crash against the tasks that had just started and were suspects before, or if there is none, against all.
    pub(super) fn count_crash(&mut self, runs: &[SuspectRun], worker: &CompactString, now_ms: u64) {
        let is_likely = |run: &SuspectRun| run.was_suspect && run.evidence == CrashEvidence::Early;
        let is_explained = runs.iter().any(is_likely);
        for run in runs {
            if !is_explained || is_likely(run) {
                self.add_crash(*run, worker, now_ms);
            }
        }
    }

    fn add_crash(&mut self, run: SuspectRun, worker: &CompactString, now_ms: u64) {
        let Some(state) = self.step_of_task_mut(run.task) else {
            return;
        };
        if state.done.get(run.task.index as usize).is_none_or(|is_done| *is_done) {
            return;
        }
        let crashes = state.crashes.entry(run.task.index).or_default();
        crashes.add(run.evidence);
        let crashes = *crashes;
        if !state.failed_on.contains(worker) {
            state.failed_on.push(worker.clone());
        }
        let Some(job) = self.jobs.get_mut(run.task.job) else {
            return;
        };
        // It must not start again before the count is durable, or a takeover would forget the crash.
        job.has_unsaved_crash = true;
        job.is_urgent = true;
        let task = Self::task_name(&job.spec, run.task);
        self.mark_dirty(run.task.job, now_ms);
        let TaskCrashes {
            total,
            confirmed,
            early,
        } = crashes;
        self.log_lines.push(format!(
            "task_crashed_worker task={task} worker={worker} total={total} confirmed={confirmed} early={early} \
             is_suspect={} is_given_up={}",
            crashes.is_suspect(),
            crashes.is_exhausted()
        ));
        if crashes.is_exhausted() {
            self.stats.given_up_tasks += 1;
            self.fail_job(run.task.job, now_ms);
        }
    }

    /// Takes note of a report that lists a run: its worker has outlived the start.
    pub(super) fn observe_survival(&mut self, key: RunKey, now_ms: u64) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.last_listed_ms = Some(now_ms);
        run.is_recalled = false;
        if Self::is_on_probation(run) {
            return;
        }
        let was_isolated = std::mem::take(&mut run.is_isolated);
        let task = run.task;
        let (number, is_suspect) = (run.id.run, run.is_suspect);
        let has_survived = run.is_suspect && now_ms >= run.start_sent_ms + Self::SURVIVAL_MS;
        if has_survived {
            run.is_suspect = false;
        }
        let worker = run.worker;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.has_crashed = false;
            worker.isolated_runs -= u32::from(was_isolated);
        }
        self.is_schedule_due |= was_isolated;
        let Some(task) = task else { return };
        let Some(state) = self.step_of_task_mut(task) else {
            return;
        };
        let had_trial = state.trials.contains_key(&task.index);
        state.end_trial(task.index, number);
        let is_forgotten = has_survived && state.crashes.remove(&task.index).is_some();
        if is_forgotten || (had_trial && is_suspect) {
            self.mark_dirty(task.job, now_ms);
        }
    }

    /// Adds the runs that were on probation when the progress of a job was last written.
    pub(super) fn recall_trials(&mut self, key: JobKey, now_ms: u64) {
        let spec = std::rc::Rc::clone(&self.jobs[key].spec);
        let Some(loaded) = self.jobs[key].loaded.clone() else {
            return;
        };
        for (occurrence, steps) in loaded.steps {
            for (step, progress) in steps {
                let Some(shape) = spec.steps.get(step as usize) else {
                    continue;
                };
                let newest = progress.trials.values().map(|trial| trial.run).max();
                let trials = progress
                    .trials
                    .into_iter()
                    // The members of a gang share the run number.
                    .filter(|(index, trial)| *index < shape.count && (!shape.is_gang || Some(trial.run) == newest));
                for (index, trial) in trials {
                    let task = RunTask {
                        job: key,
                        occurrence,
                        step,
                        index,
                    };
                    self.recall(task, &trial, now_ms);
                }
            }
        }
    }

    fn recall(&mut self, task: RunTask, trial: &Trial, now_ms: u64) {
        let spec = &self.jobs[task.job].spec;
        let shape = &spec.steps[task.step as usize];
        let (is_gang, need) = (shape.is_gang, shape.charged());
        let name = Self::task_name(spec, task);
        let Some(state) = self.step_of_task_mut(task) else {
            return;
        };
        if state.done[task.index as usize] {
            return;
        }
        let is_suspect = state.is_suspect(task.index);
        let Some(worker) = self.worker_ids.get(&trial.worker).copied() else {
            // The process ended, and the former scheduler did not live to count it.
            let run = SuspectRun {
                task,
                run: trial.run,
                evidence: CrashEvidence::Unconfirmed,
                was_suspect: is_suspect,
            };
            self.count_crash(&[run], &trial.worker, now_ms);
            return;
        };
        let started_unix_ms = &mut self.workers[worker].process_started_unix_ms;
        *started_unix_ms = started_unix_ms.or(trial.process_started_unix_ms);
        let id = TaskRun {
            task: name,
            run: trial.run,
        };
        let run = Run {
            task: Some(task),
            need,
            is_recalled: true,
            is_suspect,
            last_listed_ms: None,
            ..Run::of_former_epoch(id, worker, now_ms)
        };
        let key = self.add_run(run);
        if let Some(state) = self.step_of_task_mut(task) {
            state.set_active(task.index, key);
            state.last_run = state.last_run.max(trial.run);
            state.trials.insert(task.index, trial.clone());
            if is_gang {
                state.gang_run = Some(trial.run);
            }
        }
    }

    /// Drops the runs that only the store names if a worker lists a later run of the task: the former scheduler knew that
    /// they had ended, but could not write it any more.
    pub(super) fn drop_outdated_trials(&mut self, listed: &TaskRun, now_ms: u64) {
        let Ok(name) = listed.task.parse::<TaskName>() else {
            return;
        };
        let Some(job) = self.job_ids.get(&name.job).copied() else {
            return;
        };
        let Some(shape) = self.jobs[job].spec.steps.get(name.step as usize) else {
            return;
        };
        let is_gang = shape.is_gang;
        let Some(state) = self.step_mut(job, name.occurrence, name.step) else {
            return;
        };
        let active: Vec<RunKey> = state.active.iter().flatten().copied().collect();
        for key in active {
            let is_outdated = self.runs.get(key).is_some_and(|run| {
                let is_same_task = run.task.is_some_and(|task| task.index == name.index);
                run.is_recalled && run.id.run < listed.run && (is_gang || is_same_task)
            });
            if is_outdated {
                self.remove_run(key, now_ms);
            }
        }
    }

    /// Returns whether a task of a unit may start on a candidate although it may crash it: no run of another job there is
    /// a suspect or on probation.
    pub(super) fn is_open_to_suspects(&self, candidate: &Candidate, unit: &PlacementUnit) -> bool {
        let runs = &self.workers[candidate.worker].runs;
        let mut others = runs
            .iter()
            .map(|key| &self.runs[*key])
            .filter(|run| run.task.is_none_or(|task| task.job != unit.job));
        !others.any(|run| run.is_suspect || Self::is_on_probation(run))
    }
}
