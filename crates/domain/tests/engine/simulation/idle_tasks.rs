use std::collections::HashSet;

use super::*;

/// Job, or task that lasts, that has had nothing running beside idle workers.
#[derive(Debug)]
struct IdleSpan {
    since_ms: u64,
    /// Index of its violation once it has lasted too long, with what the scheduler logged about it.
    violation: Option<(usize, String)>,
}

/// Observer of tasks whose turn has come beside workers with room, as callers and workers see them.
#[derive(Debug, Default)]
pub struct IdleTasks {
    /// Open spans by job id, and by task name for tasks that last.
    spans: BTreeMap<CompactString, IdleSpan>,
    /// When each task that lasts was last seen running.
    last_seen_ms: BTreeMap<CompactString, u64>,
    last_fault_ms: u64,
    epoch: u64,
    /// Id and process start of all workers at the last step; a change is a fault.
    processes: Vec<(CompactString, u64)>,
}

impl IdleTasks {
    /// Time beside idle workers after which callers miss a job.
    const MISSED_AFTER_MS: u64 = 3_000;

    /// Time since the last run after which callers miss a task that lasts in any case.
    const RESTART_MS: u64 = 6_000;

    /// Time after a fault in which nothing is counted.
    const CALM_AFTER_MS: u64 = 5_000;
}

/// Checks that no ready task waits beside idle workers.
impl Simulation {
    /// Records a violation for each job, and each task that lasts, that has had nothing running for too long.
    pub(super) fn check_idle_tasks(&mut self) {
        if !self.checks_idle_tasks {
            return;
        }
        let mut observer = std::mem::take(&mut self.idle_tasks);
        if self.is_disturbed(&mut observer) {
            observer.last_fault_ms = self.now_ms;
        }
        let idle = self.find_idle(&mut observer);
        if self.now_ms < observer.last_fault_ms + IdleTasks::CALM_AFTER_MS {
            observer.spans.clear();
        } else {
            observer.spans.retain(|subject, _| idle.contains(subject));
            for subject in idle {
                self.extend_span(&mut observer, &subject);
            }
        }
        self.idle_tasks = observer;
    }

    /// Returns whether a fault is under way, or a worker or the scheduler has changed since the last step.
    fn is_disturbed(&self, observer: &mut IdleTasks) -> bool {
        let processes = self
            .workers
            .values()
            .map(|worker| (&worker.id, worker.process_started_unix_ms));
        let known = observer.processes.iter().map(|(id, started)| (id, *started));
        let is_first_step = observer.epoch == 0;
        let is_changed = self.epoch != observer.epoch || !processes.clone().eq(known);
        if is_changed {
            observer.epoch = self.epoch;
            observer.processes = processes.map(|(id, started)| (id.clone(), started)).collect();
        }
        (is_changed && !is_first_step)
            || self.is_store_down
            || self.is_list_unreadable
            || self.is_job_feed_silent
            || self.has_stale_reports
            || self.lose_starts > 0
            || self.lose_commit_replies > 0
            || self.start_delay_ms.is_some()
            || !self.delayed_starts.is_empty()
            || self.workers.values().any(|worker| worker.is_unresponsive)
    }

    /// Returns the jobs and the tasks that last that have nothing running although there is room for them twice over.
    fn find_idle(&self, observer: &mut IdleTasks) -> Vec<CompactString> {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let running: HashSet<&str> = runs.map(|run| run.task_run.task.as_str()).collect();
        let active_jobs: HashSet<&str> = running.iter().filter_map(|task| task.split('.').next()).collect();
        let is_half_empty = self.is_half_empty();
        let mut idle = Vec::new();
        for (id, stored) in &self.store {
            if stored.is_cancelled || stored.progress.state.is_final() || self.is_crashing(id) {
                continue;
            }
            let is_job_active = active_jobs.contains(id.as_str());
            let mut is_job_idle = false;
            for (occurrence, number, step) in self.ready_steps(stored) {
                let prefix = format!("{id}.{occurrence}.{number}.");
                for index in 0..step.count {
                    let task: CompactString = format!("{prefix}{index}").into();
                    if !step.is_long_running {
                        break;
                    }
                    if running.contains(task.as_str()) {
                        observer.last_seen_ms.insert(task, self.now_ms);
                        continue;
                    }
                    let last_seen_ms = observer.last_seen_ms.get(&task);
                    let is_missed = last_seen_ms.is_none_or(|at_ms| self.now_ms >= at_ms + IdleTasks::RESTART_MS);
                    if is_missed && self.has_room_twice(&stored.job, step, &prefix) {
                        idle.push(task);
                    }
                }
                is_job_idle =
                    is_job_idle || (!is_job_active && is_half_empty && self.has_room_twice(&stored.job, step, &prefix));
            }
            if is_job_idle {
                idle.push(id.clone());
            }
        }
        idle
    }

    /// Returns whether a job has a task that crashes workers, or that may be taken for one.
    fn is_crashing(&self, job: &str) -> bool {
        let mut tasks = self.crashes.tasks.iter();
        tasks.any(|task| task.starts_with(job)) || self.crashes.may_be_given_up(job)
    }

    /// Returns the steps of a job, with occurrence and number, that have open tasks and whose earlier steps are done.
    fn ready_steps<'a>(&self, stored: &'a StoredRows) -> impl Iterator<Item = (u32, usize, &'a Step)> {
        let (job, progress, now_ms) = (&stored.job, &stored.progress, self.now_ms);
        let done = move |occurrence: u32, number: u32| {
            let progress = progress.steps.get(&occurrence).and_then(|steps| steps.get(&number));
            let count = progress.map_or(0, |step| step.done.len());
            count >= job.steps[number as usize].count as usize
        };
        let due = (0..job.occurrences())
            .filter(move |number| now_ms >= job.first_run_unix_ms + u64::from(*number) * job.interval_ms);
        due.flat_map(move |occurrence| {
            let steps = job.steps.iter().enumerate();
            steps
                .filter(move |(number, step)| {
                    !done(occurrence, *number as u32) && step.after.iter().all(|earlier| done(occurrence, *earlier))
                })
                .map(move |(number, step)| (occurrence, number, step))
        })
    }

    /// Returns whether less than half of every resource is in use.
    fn is_half_empty(&self) -> bool {
        let up = self.workers.values().filter(|worker| worker.is_listed);
        let (used, capacity) = up.fold(
            (Resources::default(), Resources::default()),
            |(used, capacity), worker| (used.plus(&worker.used()), capacity.plus(&worker.capacity)),
        );
        used.accelerators * 2 < capacity.accelerators
            && used.memory_mib * 2 < capacity.memory_mib
            && used.cpu_milli * 2 < capacity.cpu_milli
    }

    /// Returns whether twice the tasks that a step has to start together fit on the workers that may run them.
    fn has_room_twice(&self, job: &Job, step: &Step, prefix: &str) -> bool {
        let needed = if step.is_gang { u64::from(step.count) } else { 1 };
        let is_advised = job.route == "route-advised" && !self.permitted_workers.is_empty();
        let has_label = |worker: &FakeWorker| {
            let label = step.required_label.as_ref();
            label.is_none_or(|label| worker.entry().labels.contains(label))
        };
        let fit = self
            .workers
            .values()
            .filter(|worker| worker.is_listed && !worker.is_unresponsive && !worker.is_draining)
            .filter(|worker| has_label(worker) && (!is_advised || self.permitted_workers.contains(&worker.id)))
            .map(|worker| {
                let fit = step.charged().times_in(&worker.capacity.left_beside(&worker.used()));
                if step.max_per_worker == 0 {
                    return fit;
                }
                let is_of_step = |run: &&FakeRun| run.task_run.task.starts_with(prefix);
                let own = worker.runs.iter().filter(is_of_step).count() as u64;
                fit.min(u64::from(step.max_per_worker).saturating_sub(own))
            })
            .fold(0, u64::saturating_add);
        fit >= 2 * needed
    }

    /// Begins or extends the span of a job or task, and keeps its violation up to date.
    fn extend_span(&mut self, observer: &mut IdleTasks, subject: &CompactString) {
        let now_ms = self.now_ms;
        let span = observer.spans.entry(subject.clone()).or_insert(IdleSpan {
            since_ms: now_ms,
            violation: None,
        });
        if now_ms < span.since_ms + IdleTasks::MISSED_AFTER_MS {
            return;
        }
        let (index, reason) = span.violation.get_or_insert_with(|| {
            let job = subject.split('.').next().unwrap_or_default();
            let is_its = |line: &&String| line.contains("tasks_wait") && line.contains(job);
            let reason = self.log_lines.iter().rfind(is_its).cloned();
            self.violations.push(String::new());
            (
                self.violations.len() - 1,
                reason.unwrap_or_else(|| "no tasks_wait line".to_owned()),
            )
        });
        self.violations[*index] = format!(
            "{subject} had nothing running from {} to {now_ms} ms beside idle workers: {reason}",
            span.since_ms
        );
    }
}
