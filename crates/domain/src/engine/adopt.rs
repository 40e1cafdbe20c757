use super::handled_job::Handled;
use super::keys::RunKey;
use super::{Engine, Run, RunTask, WorkerKey};
use crate::{Resources, TaskName, TaskRun};

/// Runs that were started in an earlier epoch.
impl Engine {
    /// Handles a run that this scheduler did not start: adopts it if its task needs it, else stops it.
    pub(super) fn adopt(&mut self, worker: WorkerKey, task_run: &TaskRun, now_ms: u64) -> RunKey {
        let mut run = Run::of_former_epoch(task_run.clone(), worker, now_ms);
        run.is_listed = self.last_runs.contains(&self.workers[worker].entry.id, task_run);
        self.drop_outdated_trials(task_run, now_ms);
        if let Some((job, name)) = self.adoptable_task(task_run) {
            self.handled = Handled::Job(job);
            let shape = &self.jobs[job].spec.steps[name.step as usize];
            run.need = shape.charged();
            run.task = Some(RunTask {
                job,
                occurrence: name.occurrence,
                step: name.step,
                index: name.index,
            });
            run.is_lasting = shape.is_long_running;
            run.is_suspect = self.step_of(&run).is_some_and(|state| state.is_suspect(name.index));
            if shape.is_filler {
                // The former scheduler may have throttled it; the next check raises the share if possible.
                run.work_percent = 0;
            }
            let is_gang = shape.is_gang;
            let key = self.add_run(run);
            let Some(state) = self.step_mut(job, name.occurrence, name.step) else {
                return key;
            };
            state.set_active(name.index, key);
            state.last_run = state.last_run.max(task_run.run);
            if is_gang {
                let is_other_run = state.gang_run.is_some_and(|run| run != task_run.run);
                state.gang_run = Some(task_run.run);
                if is_other_run || state.is_gang_ending {
                    self.end_gang(job, name.occurrence, name.step, now_ms);
                }
            }
            return key;
        }
        match self.need_of(task_run) {
            Some(need) => run.need = need,
            None => run.is_need_unknown = true,
        }
        self.log_lines
            .push(format!("run_not_wanted task={} run={}", task_run.task, task_run.run));
        let key = self.add_run(run);
        self.stop_run(key, now_ms);
        key
    }

    /// Completes what is known of a run that only the store named until its worker lists it.
    pub(super) fn confirm_recalled(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key).filter(|run| run.is_recalled) else {
            return;
        };
        let shape = self.shape_of(run);
        let is_filler = shape.is_some_and(|shape| shape.is_filler);
        let is_long_running = shape.is_some_and(|shape| shape.is_long_running);
        let run = &mut self.runs[key];
        // A crash from now on is one that no scheduler has counted.
        run.is_crash_counted = false;
        if is_filler {
            run.work_percent = 0;
        }
        if is_long_running && !run.is_lasting {
            run.is_lasting = true;
            let worker = &mut self.workers[run.worker];
            worker.used_by_lasting = worker.used_by_lasting.plus(&run.need);
        }
    }

    /// Returns the resources that a run takes from its worker, if its job is known.
    fn need_of(&self, task_run: &TaskRun) -> Option<Resources> {
        let name: TaskName = task_run.task.parse().ok()?;
        let open = self.job_ids.get(&name.job).map(|key| &self.jobs[*key].spec);
        let spec = open.or_else(|| self.ended_jobs.get(&name.job))?;
        Some(spec.steps.get(name.step as usize)?.charged())
    }

    /// Returns the task of a run if it is not done and has no other run. The task must not start elsewhere before this
    /// run has ended, even if the run is not wanted.
    pub(super) fn adoptable_task(&self, task_run: &TaskRun) -> Option<(super::keys::JobKey, TaskName)> {
        let name: TaskName = task_run.task.parse().ok()?;
        let key = *self.job_ids.get(&name.job)?;
        let job = &self.jobs[key];
        if job.is_final() {
            return None;
        }
        let state = job.occurrences.get(&name.occurrence)?.steps.get(name.step as usize)?;
        let index = name.index as usize;
        let is_free = index < state.done.len() && !state.done[index] && state.active[index].is_none();
        is_free.then_some((key, name))
    }

    /// Ends adopted gangs with missing members once all workers have replied or the members would have stopped waiting
    /// for each other.
    pub(super) fn check_adopted(&mut self, now_ms: u64) {
        let is_reply_pending = self
            .workers
            .values()
            .any(|worker| !worker.is_fenced && worker.is_recorded);
        if is_reply_pending && now_ms < self.took_over_ms + self.limits.gang_wait_ms {
            return;
        }
        let mut partial = Vec::new();
        for (key, job) in &self.jobs {
            for (number, occurrence) in &job.occurrences {
                for (step, state) in occurrence.steps.iter().enumerate() {
                    let is_partial = state.gang_run.is_some()
                        && !state.is_gang_ending
                        && !state.is_done()
                        && (state.active_count as usize) < state.active.len();
                    if is_partial {
                        partial.push((key, *number, step as u32));
                    }
                }
            }
        }
        for (job, occurrence, step) in partial {
            self.log_lines
                .push(format!("gang_incomplete job={} step={step}", self.jobs[job].spec.id));
            self.end_gang(job, occurrence, step, now_ms);
        }
    }
}
