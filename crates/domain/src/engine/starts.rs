use super::keys::{JobKey, RunKey};
use super::organisation_usage::Claim;
use super::run_progress::RunProgress;
use super::{Engine, Run, RunState, RunTask, WorkerKey};
use crate::{Limits, StartCommand, TaskRun, Trial};

/// Reason why a worker did not start a run. The command had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// It saw a newer epoch.
    Fenced,
    /// It already ended this run or a later one.
    Old,
    /// The command arrived after its lease had ended.
    Late,
    /// The task does not fit into its free capacity.
    NoRoom,
    /// The ticket of the placement service is missing or has expired.
    NoTicket,
    /// It accepts no commands at present.
    Unhealthy,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// The command is malformed.
    Malformed,
    /// The command was not sent: no connection.
    NotSent,
}

/// Outcome of a start command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is on the worker.
    Started,
    /// The worker rejected the command, which had no effect.
    Rejected(Rejection),
    /// No reply: the command may take effect at any time until its lease ends.
    Unanswered,
}

/// Start commands and their replies.
impl Engine {
    /// Pause before a step whose start was rejected is placed again.
    const REJECTED_PAUSE_MS: u64 = 50;

    /// Exclusion of a worker that refuses commands or cannot be reached.
    const REFUSAL_EXCLUSION_MS: u64 = 1_000;

    /// Returns the next run number of a step; numbers of later epochs are higher.
    pub(super) fn next_run(&mut self, job: JobKey, occurrence: u32, step: u32) -> u64 {
        /// Run numbers available to one step in one epoch.
        const RUNS_PER_EPOCH: u64 = 1_000_000;
        let base = (self.epoch - 1) * RUNS_PER_EPOCH;
        let Some(state) = self.step_mut(job, occurrence, step) else {
            return base + 1;
        };
        state.last_run = state.last_run.max(base) + 1;
        state.last_run
    }

    /// Sends a worker the command to start a task.
    pub(super) fn start_run(&mut self, task: RunTask, number: u64, worker_key: WorkerKey, now_ms: u64) {
        let spec = std::rc::Rc::clone(&self.jobs[task.job].spec);
        let shape = &spec.steps[task.step as usize];
        let index = task.index;
        let worker = &self.workers[worker_key];
        if worker.runs.len() >= Self::MAX_LAST_RUNS {
            self.start_bound.lift(now_ms);
        }
        let Some(lease_until_ms) = worker.lease_until_ms(now_ms, self.limits.lease_max_ms, Limits::CLOCK_DRIFT) else {
            return;
        };
        let trial = Trial {
            run: number,
            worker: worker.entry.id.clone(),
            process_started_unix_ms: worker.process_started_unix_ms,
        };
        let slot = if shape.is_gang { 0 } else { index };
        let state = self.step_of_task_mut(task);
        let (checkpoint, is_suspect, has_crashes) = state.map_or((None, false, false), |state| {
            let is_suspect = if shape.is_gang {
                state.has_suspects()
            } else {
                state.is_suspect(index)
            };
            let has_crashes = state.crashes.contains_key(&index);
            (state.checkpoints[slot as usize].clone(), is_suspect, has_crashes)
        });
        let task_run = TaskRun {
            task: Self::task_name(&spec, task),
            run: number,
        };
        let run = Run {
            id: task_run.clone(),
            task: Some(task),
            worker: worker_key,
            need: shape.charged(),
            claim: Claim::Unknown,
            state: RunState::Starting,
            start_sent_ms: now_ms,
            confirmed_ms: None,
            last_listed_ms: None,
            is_suspect,
            is_isolated: is_suspect,
            is_crash_counted: false,
            is_void: false,
            stop_sent_ms: None,
            is_stop_in_flight: false,
            resumed: checkpoint.is_some(),
            is_adopted: false,
            is_recalled: false,
            is_listed: false,
            is_unsent: true,
            checkpoint: checkpoint.clone(),
            recent: 0.0,
            progress: RunProgress::default(),
            is_rate_observed: false,
            work_percent: 100,
            throttle_sent_ms: 0,
            is_lasting: shape.is_long_running,
            is_need_unknown: false,
        };
        let key = self.add_run(run);
        if let Some(state) = self.step_of_task_mut(task) {
            state.set_active(index, key);
            state.trials.insert(index, trial);
        }
        if has_crashes {
            // A successor has to know on which worker it may have started again.
            self.jobs[task.job].is_urgent = true;
            self.mark_dirty(task.job, now_ms);
        }
        let command = StartCommand {
            task_run,
            spec: spec.spec.clone(),
            lease_until_ms,
            checkpoint,
            ticket: self.ticket_for(task.unit(), worker_key, now_ms),
        };
        self.add_start(key, command, now_ms);
    }

    pub(super) fn add_run(&mut self, mut run: Run) -> RunKey {
        let worker_key = run.worker;
        run.claim = self.claim_of(&run);
        self.usages.add(run.claim);
        self.forget_former_run(worker_key, &run.id);
        let (need, is_need_unknown, is_isolated) = (run.need, run.is_need_unknown, run.is_isolated);
        let is_listed = run.is_listed;
        let task_run = run.id.clone();
        let lasting = run.lasting_need();
        let key = self.runs.insert(run);
        self.run_keys.insert(task_run, key);
        let worker = &mut self.workers[worker_key];
        worker.runs.push(key);
        worker.used = worker.used.plus(&need);
        worker.used_by_lasting = worker.used_by_lasting.plus(&lasting);
        worker.runs_of_unknown_need += u32::from(is_need_unknown);
        worker.isolated_runs += u32::from(is_isolated);
        worker.unlisted_runs += u32::from(!is_listed);
        key
    }

    /// Removes a run that certainly does not occupy its worker any more.
    pub(super) fn remove_run(&mut self, key: RunKey, now_ms: u64) {
        let Some(run) = self.runs.remove(key) else { return };
        self.usages.remove(run.claim);
        let state = self.step_of(&run);
        let index = run.task.map(|task| task.index as usize);
        let is_open = state
            .zip(index)
            .is_some_and(|(state, index)| state.done.get(index) == Some(&false));
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.runs.retain(|other| *other != key);
            worker.used = worker.used.minus(&run.need);
            worker.used_by_lasting = worker.used_by_lasting.minus(&run.lasting_need());
            worker.runs_of_unknown_need -= u32::from(run.is_need_unknown);
            worker.isolated_runs -= u32::from(run.is_isolated);
            worker.unlisted_runs -= u32::from(!run.is_listed);
            worker.is_row_outdated |= run.is_listed && is_open;
        }
        self.run_keys.remove(&run.id);
        self.unconfirmed_stops.swap_remove(&key);
        if let Some(task) = run.task {
            let has_remaining_members = self.step_of_task_mut(task).is_some_and(|state| {
                state.clear_active(task.index, key);
                state.end_trial(task.index, run.id.run);
                state.gang_run.is_some() && !state.is_done()
            });
            if has_remaining_members {
                self.end_gang(task.job, task.occurrence, task.step, now_ms);
            }
            self.drop_if_finished(task.job);
        }
        self.is_schedule_due = true;
    }

    /// Stops all members of a gang; it starts again as a whole.
    pub(super) fn end_gang(&mut self, job: JobKey, occurrence: u32, step: u32, now_ms: u64) {
        let Some(state) = self.step_mut(job, occurrence, step) else {
            return;
        };
        if state.active_count == 0 {
            return;
        }
        state.is_gang_ending = true;
        let members: Vec<_> = state.active.iter().flatten().copied().collect();
        for member in members {
            self.stop_run(member, now_ms);
        }
    }

    pub(super) fn task_run_of(&self, key: RunKey) -> Option<TaskRun> {
        self.runs.get(key).map(|run| run.id.clone())
    }

    /// Handles the reply to a start command.
    pub fn start_replied(&mut self, worker: WorkerKey, task_run: &TaskRun, outcome: StartOutcome, now_ms: u64) {
        self.start_answered(worker);
        let Some(key) = self.run_keys.get(task_run).copied() else {
            return;
        };
        let Some(run) = self.runs.get_mut(key) else { return };
        match outcome {
            StartOutcome::Started => {
                run.confirmed_ms = Some(now_ms);
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                }
                self.mark_job_running(key, now_ms);
            }
            StartOutcome::Unanswered => {
                self.stats.unanswered_starts += 1;
                if run.state == RunState::Starting {
                    let task = run.task;
                    self.log_lines
                        .push(format!("start_unanswered task={} run={}", task_run.task, task_run.run));
                    self.abort_run(key, now_ms);
                    // The worker may have crashed, so its trial is written at once.
                    if let Some(task) = task
                        && let Some(entry) = self.jobs.get_mut(task.job)
                    {
                        entry.is_urgent = true;
                        self.mark_dirty(task.job, now_ms);
                    }
                }
            }
            StartOutcome::Rejected(rejection) => {
                self.stats.rejected_starts += 1;
                self.log_lines.push(format!(
                    "start_rejected task={} run={} worker={} reason={rejection:?}",
                    task_run.task,
                    task_run.run,
                    self.workers.get(worker).map_or("", |worker| worker.entry.id.as_str())
                ));
                self.start_rejected(key, worker, rejection, now_ms);
            }
        }
        self.is_schedule_due = true;
    }

    /// Stops a run and, if it belongs to a gang, the other members.
    pub(super) fn abort_run(&mut self, key: RunKey, now_ms: u64) {
        self.stop_run(key, now_ms);
        let Some(run) = self.runs.get(key) else { return };
        if let Some(task) = run.task.filter(|_| self.is_gang_member(run)) {
            self.end_gang(task.job, task.occurrence, task.step, now_ms);
        }
    }

    fn start_rejected(&mut self, key: RunKey, worker_key: WorkerKey, rejection: Rejection, now_ms: u64) {
        let task = self.runs.get(key).and_then(|run| run.task);
        if let Some(task) = task.filter(|_| rejection == Rejection::NoTicket) {
            self.drop_ticket(task.unit(), worker_key);
        }
        self.remove_run(key, now_ms);
        if let Some(state) = task.and_then(|task| self.step_of_task_mut(task)) {
            state.not_before_ms = now_ms + Self::REJECTED_PAUSE_MS;
        }
        let Some(worker) = self.workers.get_mut(worker_key) else {
            return;
        };
        match rejection {
            Rejection::Fenced => self.is_epoch_rejected = true,
            Rejection::Unhealthy | Rejection::NotSent => {
                worker.refuses_until_ms = worker.refuses_until_ms.max(now_ms + Self::REFUSAL_EXCLUSION_MS);
            }
            Rejection::NoRoom | Rejection::Late => {
                // The next report shows what occupies it and gives a new reading of its clock.
                worker.refuses_until_ms = worker.refuses_until_ms.max(now_ms + Self::STOP_REPEAT_MS);
            }
            Rejection::OtherIncarnation if self.is_lease_certain(now_ms) => self.worker_exited(worker_key, now_ms),
            Rejection::OtherIncarnation => self.defer_loss(worker_key),
            Rejection::Old | Rejection::NoTicket | Rejection::Malformed => {}
        }
        self.set_renew_due(worker_key, now_ms);
    }

    /// Returns whether a worker rejected the epoch of this scheduler.
    pub const fn is_epoch_rejected(&self) -> bool {
        self.is_epoch_rejected
    }
}
