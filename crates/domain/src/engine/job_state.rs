use super::Engine;
use super::keys::{JobKey, RunKey};
use crate::JobState;

/// Transitions of a job's state.
impl Engine {
    /// Cancels a job and stops its runs.
    pub fn cancel(&mut self, id: &str, now_ms: u64) {
        let Some(key) = self.job_ids.get(id).copied() else {
            return;
        };
        if self.jobs[key].is_final() {
            return;
        }
        self.jobs[key].is_cancelled = true;
        self.log_lines.push(format!("job_cancelled job={id}"));
        self.close_job(key, JobState::Cancelled, now_ms);
    }

    /// Fails a job because one of its tasks used up its attempts.
    pub(super) fn fail_job(&mut self, key: JobKey, now_ms: u64) {
        if self.jobs[key].is_final() {
            return;
        }
        self.log_lines
            .push(format!("job_failed job={}", self.jobs[key].spec.id));
        self.close_job(key, JobState::Failed, now_ms);
    }

    /// Completes the job if all its tasks are done.
    pub(super) fn check_finished(&mut self, key: JobKey, now_ms: u64) {
        let job = &self.jobs[key];
        if job.is_final() {
            return;
        }
        let all_open = job.next_occurrence == job.spec.occurrences();
        if all_open && job.occurrences.values().all(super::Occurrence::is_done) {
            self.log_lines.push(format!(
                "job_done job={} age_ms={} objective_ms={} priority={}",
                job.spec.id,
                now_ms.saturating_sub(job.accepted_ms),
                Self::objective_ms(&job.spec, &self.critical_paths_ms(&job.spec)),
                job.spec.priority
            ));
            self.close_job(key, JobState::Done, now_ms);
        }
    }

    fn close_job(&mut self, key: JobKey, state: JobState, now_ms: u64) {
        let job = &mut self.jobs[key];
        job.state = state;
        job.is_urgent = true;
        self.mark_dirty(key, now_ms);
        let active: Vec<RunKey> = self.jobs[key]
            .occurrences
            .values()
            .flat_map(|occurrence| &occurrence.steps)
            .filter(|step| !step.is_done())
            .flat_map(|step| step.active.iter().flatten().copied())
            .collect();
        for run in active {
            self.stop_run(run, now_ms);
        }
        self.is_schedule_due = true;
    }

    /// Marks a queued job as running once one of its runs is known to be on a worker.
    pub(super) fn mark_job_running(&mut self, run: RunKey, now_ms: u64) {
        let Some(key) = self.runs.get(run).and_then(|run| run.task).map(|task| task.job) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.state == JobState::Queued {
            job.state = JobState::Running;
            self.mark_dirty(key, now_ms);
        }
    }

    /// Drops a job that is final, durable and without runs.
    pub(super) fn drop_if_finished(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        let is_finished = job.is_final()
            && !self.dirty.contains(&key)
            && !self.commit.contains(key)
            && job.records.is_empty()
            && job
                .occurrences
                .values()
                .flat_map(|occurrence| &occurrence.steps)
                .all(|step| step.active_count == 0);
        if is_finished && let Some(job) = self.jobs.remove(key) {
            self.job_ids.remove(&job.spec.id);
            self.finished.push(job.spec.id.clone());
            // Workers that reply late after a takeover may still list runs of the job.
            self.ended_jobs.insert(job.spec.id.clone(), job.spec);
            self.drop_unneeded_hints();
        }
    }
}
