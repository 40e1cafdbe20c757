use std::collections::HashSet;

use super::handled_job::Handled;
use super::keys::RunKey;
use super::{Engine, RunState, WorkerKey};
use crate::{Action, EndKind, Limits, RunEnd, RunningTask, TaskName, TaskRun, WorkerReport};

/// Lease renewals and the processing of worker reports.
impl Engine {
    /// How long a worker may delay its reply to a renewal while no run ends. Bounds the age of its lease.
    pub const RENEW_WAIT_MS: u64 = 700;

    /// Interval of renewals while run ends wait to become durable; a renewal with a wait would return at once.
    const RENEW_UNACKED_MS: u64 = 400;

    /// Retry interval for an unresponsive worker.
    const RENEW_UNRESPONSIVE_MS: u64 = 100;

    /// Sends the renewals that are due.
    pub(super) fn renew_due(&mut self, now_ms: u64, may_start: bool) {
        if !may_start || !self.is_loaded {
            // Reports may name runs of jobs that are not loaded yet; these would be treated as unknown.
            return;
        }
        self.repeat_stops(now_ms);
        let limits = self.limits;
        while let Some(key) = self.renewals.pop_due(now_ms) {
            let worker = &mut self.workers[key];
            let has_unacked = worker.processed_end > worker.acked_end;
            // An unresponsive worker is only polled: renewals that arrive while their replies are lost would extend the
            // lease indefinitely.
            let lease_until_ms = worker
                .lease_until_ms(now_ms, limits.lease_max_ms, Limits::CLOCK_DRIFT)
                .filter(|_| {
                    worker.unresponsive_since_ms.is_none() && !self.last_runs.may_limit_leases(&worker.entry.id)
                });
            let is_confirmed = worker.is_fenced && lease_until_ms.is_some();
            let wait_ms = if has_unacked || !is_confirmed {
                0
            } else {
                Self::RENEW_WAIT_MS
            };
            worker.renew_sent_ms = Some(now_ms);
            if lease_until_ms.is_some() {
                worker.lease_expiry_ms = worker.lease_expiry_ms.max(now_ms + limits.lease_expiry_ms());
            }
            // Another process may answer, whose ends have the same numbers.
            let acked_run_end = match worker.unresponsive_since_ms {
                Some(_) => 0,
                None => worker.acked_end,
            };
            self.actions.push(Action::Renew {
                worker: key,
                lease_until_ms,
                acked_run_end,
                wait_ms,
            });
        }
    }

    /// Sets when the next renewal of a worker is due, unless one is in flight; its reply sets the time.
    pub(super) fn set_renew_due(&mut self, key: WorkerKey, due_ms: u64) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.renew_sent_ms.is_none() {
            self.renewals.remove(key, worker.renew_due_ms);
            worker.renew_due_ms = due_ms;
            self.renewals.insert(key, due_ms);
        }
    }

    /// Handles a failed renewal: no reply, or a reply that is not a report.
    pub fn renew_failed(&mut self, key: WorkerKey, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let sent_ms = worker.renew_sent_ms.take().unwrap_or(now_ms);
        if worker.unresponsive_since_ms.is_none() {
            worker.unresponsive_since_ms = Some(sent_ms);
            worker.noticed_silent_ms = Some(now_ms);
            self.log_lines.push(format!(
                "worker_silent worker={} heard_ms_ago={}",
                worker.entry.id,
                now_ms.saturating_sub(worker.last_reply_ms)
            ));
        }
        self.set_renew_due(key, now_ms + Self::RENEW_UNRESPONSIVE_MS);
    }

    /// Handles a renewal that a worker rejected because it saw a newer epoch.
    pub fn renew_fenced(&mut self, key: WorkerKey, now_ms: u64) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.renew_sent_ms = None;
            self.is_epoch_rejected = true;
            self.set_renew_due(key, now_ms + Self::RENEW_UNRESPONSIVE_MS);
        }
    }

    /// Handles a reply from another incarnation at the address of a worker: the worker runs nothing any more.
    pub fn renew_other_incarnation(&mut self, key: WorkerKey, now_ms: u64) {
        if self.is_lease_certain(now_ms) {
            self.worker_exited(key, now_ms);
        } else {
            // Its runs may have ended before it exited, and a successor may know how.
            self.defer_loss(key);
            self.renew_failed(key, now_ms);
        }
    }

    /// Processes the report of a worker.
    pub fn renewed(&mut self, key: WorkerKey, report: &WorkerReport, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let is_restarted = matches!(
            (worker.process_started_unix_ms, report.process_started_unix_ms),
            (Some(old), Some(new)) if old != new
        );
        if is_restarted && worker.renew_sent_ms.is_some() && !self.is_lease_certain(now_ms) {
            // The runs of the former incarnation may have ended before, and a successor may know how.
            self.defer_loss(key);
            self.renew_failed(key, now_ms);
            return;
        }
        let worker = &mut self.workers[key];
        let Some(sent_ms) = worker.renew_sent_ms.take() else {
            return;
        };
        if is_restarted {
            self.worker_restarted(key);
        }
        self.resolve_lost_process(key, report.process_started_unix_ms, now_ms);
        let worker = &mut self.workers[key];
        if worker.unresponsive_since_ms.take().is_some() {
            self.log_lines.push(format!("worker_heard worker={}", worker.entry.id));
        }
        worker.process_started_unix_ms = report.process_started_unix_ms.or(worker.process_started_unix_ms);
        worker.is_fenced = true;
        worker.is_restart_pending = false;
        worker.is_loss_deferred = false;
        worker.last_reply_ms = now_ms;
        worker.clock = Some((report.clock_ms, now_ms));
        let known = worker.processed_end;
        self.settle_former_runs(key, report, now_ms);
        self.import_speed(key);
        for end in report.ends.iter().filter(|end| end.number > known) {
            self.workers[key].processed_end = end.number;
            self.run_ended(key, end, now_ms);
        }
        let mut listed = HashSet::with_capacity(report.running.len());
        for task in &report.running {
            if let Some(run) = self.run_listed(key, task, now_ms) {
                listed.insert(run);
            }
        }
        self.handled = Handled::Nothing;
        if is_restarted {
            self.forget_former_runs(key);
            self.drop_unlisted(key, &listed, sent_ms, now_ms);
            self.workers[key].was_former_draining = false;
        } else if report.ends.len() < WorkerReport::MAX_ENDS {
            self.check_missing(key, &listed, sent_ms, now_ms);
        }
        let worker = &mut self.workers[key];
        worker.noticed_silent_ms = None;
        let has_unacked = worker.processed_end > worker.acked_end;
        let due_ms = if has_unacked {
            self.unacked.insert(key);
            now_ms + Self::RENEW_UNACKED_MS
        } else {
            now_ms
        };
        self.set_renew_due(key, due_ms);
        self.is_schedule_due |= !report.ends.is_empty();
    }

    /// Processes a run that a worker reports as running; returns its key.
    fn run_listed(&mut self, worker: WorkerKey, task: &RunningTask, now_ms: u64) -> Option<RunKey> {
        let task_run = TaskRun {
            task: task.task.clone(),
            run: task.run,
        };
        let key = match self.run_keys.get(&task_run) {
            Some(key) => *key,
            None => self.adopt(worker, &task_run, now_ms),
        };
        self.handled = Handled::Run(key);
        self.confirm_recalled(key);
        let run = self.runs.get_mut(key)?;
        if run.worker != worker {
            return None;
        }
        if run.state == RunState::Starting {
            run.state = RunState::Running;
        }
        run.confirmed_ms.get_or_insert(now_ms);
        run.progress.observe(task.percent, now_ms);
        run.recent = task.recent;
        if task.checkpoint.is_some() && run.checkpoint != task.checkpoint {
            run.checkpoint.clone_from(&task.checkpoint);
            self.keep_checkpoint(key);
        }
        self.observe_survival(key, now_ms);
        self.observe_rate(key, now_ms);
        self.mark_job_running(key, now_ms);
        Some(key)
    }

    /// Copies the checkpoint of a run to its task. It becomes durable with the next write of the job.
    fn keep_checkpoint(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key) else { return };
        let Some(task) = run.task else { return };
        let index = if self.is_gang_member(run) { 0 } else { task.index };
        let checkpoint = run.checkpoint.clone();
        if let Some(state) = self.step_of_task_mut(task) {
            state.checkpoints[index as usize] = checkpoint;
        }
    }

    /// Handles runs that a report must list and does not: they ended and were acknowledged, or never arrived.
    ///
    /// A worker may leave a run that it is stopping out of its list, and its capacity is free only once it lists the
    /// end. A stopped run counts as missing when the report was requested after the time that a stop takes.
    fn check_missing(&mut self, worker: WorkerKey, listed: &HashSet<RunKey>, sent_ms: u64, now_ms: u64) {
        let missing: Vec<_> = self.workers[worker]
            .runs
            .iter()
            .copied()
            .filter(|key| {
                let run = &self.runs[*key];
                let stop_ms = if run.is_void { self.limits.stop_limit_ms() } else { 0 };
                let is_confirmed = run.confirmed_ms.is_some_and(|at_ms| at_ms + stop_ms < sent_ms);
                is_confirmed && !listed.contains(key)
            })
            .collect();
        for key in missing {
            let Some(run) = self.runs.get(key) else { continue };
            if run.is_void {
                self.remove_run(key, now_ms);
            } else {
                self.abort_run(key, now_ms);
            }
        }
    }

    /// Processes a run end that a worker reports.
    fn run_ended(&mut self, worker: WorkerKey, end: &RunEnd, now_ms: u64) {
        let task_run = TaskRun {
            task: end.task.clone(),
            run: end.run,
        };
        let run_key = self.run_keys.get(&task_run).copied();
        let Ok(name) = end.task.parse::<TaskName>() else {
            return;
        };
        self.handled = run_key.map_or(Handled::Nothing, Handled::Run);
        if let Some(job) = self.job_ids.get(&name.job).copied() {
            self.handled = Handled::Job(job);
            self.apply_run_end(job, worker, &name, end, run_key, now_ms);
        }
        if let Some(key) = run_key {
            self.remove_run(key, now_ms);
        }
    }

    fn apply_run_end(
        &mut self,
        job: super::keys::JobKey,
        worker: WorkerKey,
        name: &TaskName,
        end: &RunEnd,
        run_key: Option<RunKey>,
        now_ms: u64,
    ) {
        let spec = std::rc::Rc::clone(&self.jobs[job].spec);
        let Some(shape) = spec.steps.get(name.step as usize) else {
            return;
        };
        if name.index >= shape.count {
            return;
        }
        let worker_id = self.workers[worker].entry.id.clone();
        let run = run_key.and_then(|key| self.runs.get(key)).cloned();
        let slot = if shape.is_gang { 0 } else { name.index as usize };
        let Some(state) = self.step_mut(job, name.occurrence, name.step) else {
            return;
        };
        if end.checkpoint.is_some() {
            state.checkpoints[slot].clone_from(&end.checkpoint);
        }
        let is_first_done = !state.done[name.index as usize];
        match end.kind {
            // Long-running tasks start again however they end.
            EndKind::Done if shape.is_long_running => {}
            EndKind::Done => {
                if shape.is_gang {
                    (0..shape.count as usize).for_each(|index| state.set_done(index));
                } else {
                    state.set_done(name.index as usize);
                }
                let other = state.active[name.index as usize];
                self.workers[worker].failed_jobs.clear();
                if is_first_done {
                    self.log_lines
                        .push(format!("run_done task={} run={} worker={worker_id}", end.task, end.run));
                    self.stats.done += 1;
                }
                // The first member of a gang to end shows the run time of all.
                if let Some(run) = run.as_ref().filter(|_| is_first_done || !shape.is_gang) {
                    self.learn(&spec, name.step, run, now_ms);
                    self.observe_run_time(shape, run, now_ms);
                }
                if let Some(other) = other
                    && Some(other) != run_key
                {
                    self.abort_run(other, now_ms);
                }
            }
            EndKind::Failed => {
                if !state.failed[slot].contains(&end.run) {
                    if shape.is_long_running {
                        // It may fail without limit, so only the newest failure is kept.
                        state.failed[slot].clear();
                    }
                    state.failed[slot].push(end.run);
                }
                let failures = state.failed[slot].len() as u32;
                if !state.failed_on.contains(&worker_id) {
                    state.failed_on.push(worker_id.clone());
                }
                self.stats.failed += 1;
                let failed_jobs = &mut self.workers[worker].failed_jobs;
                if !failed_jobs.contains(&spec.id) {
                    failed_jobs.push(spec.id.clone());
                }
                self.log_lines.push(format!(
                    "run_failed task={} run={} worker={worker_id} failures={failures} attempts={}",
                    end.task, end.run, spec.attempts
                ));
                if !shape.is_long_running && failures >= spec.attempts {
                    self.fail_job(job, now_ms);
                }
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {
                self.stats.broken += 1;
                if let Some(run) = &run {
                    let elapsed_ms = now_ms.saturating_sub(run.start_sent_ms);
                    if end.checkpoint.is_none() {
                        self.stats.wasted_core_ms += run.need.weight_milli() * elapsed_ms / 1_000;
                    }
                }
                self.log_lines.push(format!(
                    "run_ended task={} run={} worker={worker_id} how={:?}",
                    end.task, end.run, end.kind
                ));
            }
        }
        self.record(job, name, end, &worker_id, run.as_ref(), now_ms);
        if shape.is_gang && end.kind != EndKind::Done {
            self.end_gang(job, name.occurrence, name.step, now_ms);
        }
        self.mark_dirty(job, now_ms);
        self.check_finished(job, now_ms);
    }
}
