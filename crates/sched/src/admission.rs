use model::{JobId, JobRow, JobState, Outcome, Refusal};
use policy::{Event as Observed, JobKey, Policy};
use trace::{Event, EventKind};

use crate::Action;
use crate::job::{Job, Key, Phase};
use crate::run::EndCause;
use crate::scheduler::{Mode, Scheduler};

/// Maximum number of parked or queued jobs processed in one tick, which bounds the cost of a tick in a burst of jobs.
const MAX_PER_TICK: usize = 64;

/// Time after which a caller may retry whose payload does not fit beside those of other jobs.
const PAYLOADS_RETRY_AFTER_MS: u64 = 5_000;

impl<P: Policy> Scheduler<P> {
    /// Handles a job that an entry instance hands over.
    pub(crate) fn submitted(&mut self, row: JobRow, version: u64, actions: &mut Vec<Action>) {
        if self.mode == Mode::Recovering {
            let is_newer = self.early_rows.get(&row.id()).is_none_or(|(_, known)| *known < version);
            if is_newer {
                self.early_rows.insert(row.id(), (row, version));
            }
        } else {
            self.ingest_row(row, version, actions);
        }
    }

    /// Processes the row of an unfinished job, known or not; a stale row of a known job is ignored unless it requests
    /// cancellation.
    pub(crate) fn ingest_row(&mut self, row: JobRow, version: u64, actions: &mut Vec<Action>) {
        if row.data_centre != self.data_centre || row.state.is_final() {
            return;
        }
        if let Some(key) = self.by_id.get(&row.id()).copied() {
            let is_cancelled = row.cancel_requested;
            let job = &self.jobs[key];
            if job.open_write.is_none() && version > job.version {
                self.resolve_conflict(key, Some((Box::new(row), version)), actions);
            } else if is_cancelled {
                self.cancel(key, actions);
            }
            return;
        }
        let id = row.id();
        let is_resume = row.attempts.last().is_some_and(|last| {
            last.state == model::AttemptState::Stopped && (row.spec.checkpointable || !row.spec.idempotent)
        }) && row.checkpoints.len() != usize::from(row.spec.shape.parts);
        let is_adopted = matches!(row.state, JobState::Running | JobState::Indeterminate) || is_resume;
        let mut job = Job::new(row, version);
        let parts = usize::from(job.row.spec.shape.parts);
        let found = self.found_checkpoints.range((id.clone(), 0)..=(id.clone(), u32::MAX));
        if let Some((_, complete)) = found.rev().find(|(_, checkpoints)| checkpoints.len() == parts) {
            job.checkpoints = complete.values().cloned().collect();
            job.row.checkpoints.clone_from(&job.checkpoints);
        }
        self.payload_bytes += job.payload_bytes;
        let key = self.jobs.insert(job);
        self.parked.insert(key);
        self.by_id.insert(id.clone(), key);
        if self.early_cancels.remove(&id) {
            self.jobs[key].row.cancel_requested = true;
        }
        if is_adopted && self.jobs[key].last_attempt() > 0 {
            self.adopt(key, actions);
        } else if self.mode != Mode::Recovering {
            self.submit(key, actions);
        }
    }

    /// Hands a job that is not running to the policy's queue.
    pub(crate) fn submit(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.row.cancel_requested {
            self.end_cancelled(key, actions);
            return;
        }
        if !job.may_start() {
            let message = "stopped before its end; it may not run again".to_owned();
            self.finalize(key, JobState::Failed, Outcome::Failed { message }, actions);
            return;
        }
        if !self.is_in_service {
            // It is moved to another data centre or waits until this one is in service again.
            self.set_phase(key, Phase::Parked);
            return;
        }
        let is_over_budget = self.payload_bytes > self.settings.payload_budget_bytes;
        // A payload that is larger than the budget is accepted where it is the only large one.
        if is_over_budget && (1..self.payload_bytes).contains(&job.payload_bytes) && job.row.attempts.is_empty() {
            let refusal = Refusal::QueueFull {
                organisation: job.row.spec.organisation.clone(),
                limit: self.jobs.len() as u32 - 1,
                retry_after_ms: PAYLOADS_RETRY_AFTER_MS,
            };
            self.refuse(key, refusal, actions);
            return;
        }
        let mut spec = job.row.spec.clone();
        if let Some(deadline_ms) = &mut spec.deadline_ms {
            let waited_ms = self.now_unix_ms.saturating_sub(job.row.accepted_unix_ms);
            if waited_ms >= *deadline_ms {
                self.refuse(key, Refusal::DeadlinePassed, actions);
                return;
            }
            *deadline_ms -= waited_ms;
        }
        match self.policy.submit(self.now_ms, &spec) {
            Ok(policy_key) => {
                job.policy_key = Some(policy_key);
                self.by_policy.insert(policy_key, key);
                self.set_phase(key, Phase::Queued);
            }
            // A job that had an attempt is kept and retried; only new jobs are refused.
            Err(Refusal::QueueFull { .. }) if !job.row.attempts.is_empty() => self.set_phase(key, Phase::Parked),
            Err(refusal) => self.refuse(key, refusal, actions),
        }
    }

    /// Ends a job that will not be started again, as `did_not_run` only if no attempt may have started.
    pub(crate) fn refuse(&mut self, key: Key, refusal: Refusal, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.may_have_started() {
            let message = refusal.to_string();
            self.finalize(key, JobState::Failed, Outcome::Failed { message }, actions);
        } else {
            job.row.refusal = Some(refusal.clone());
            self.finalize(key, JobState::DidNotRun, Outcome::DidNotRun { refusal }, actions);
        }
    }

    /// Makes a job final; the outcome is published once the row is written.
    pub(crate) fn finalize(&mut self, key: Key, state: JobState, outcome: Outcome, actions: &mut Vec<Action>) {
        self.remove_from_policy(key, |job| Observed::Removed { job });
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.row.state = state;
        match &outcome {
            Outcome::Ran { answer } => {
                job.row.answer_length_bytes = Some(answer.length_bytes);
                job.row.answer_sha256 = Some(answer.sha256.clone());
                job.answer = Some(Box::new(answer.clone()));
            }
            Outcome::Failed { message } => job.row.failure = Some(message.clone()),
            _ => {}
        }
        job.run = None;
        job.outcome = Some(Box::new(outcome));
        let id = job.id.clone();
        let kind = match state {
            JobState::Cancelled => EventKind::JobCancelled,
            JobState::DidNotRun => EventKind::RequestRefused,
            _ => EventKind::JobEnded,
        };
        self.event(Event::new(kind).job(id), actions);
        self.set_phase(key, Phase::Final);
        self.mark_dirty(key);
    }

    /// Publishes a final outcome once.
    pub(crate) fn publish_outcome(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if let Some(outcome) = job.outcome.take() {
            let job = job.id.clone();
            actions.push(Action::Outcome { job, outcome });
        }
    }

    /// Removes the job from the policy with a last event.
    pub(crate) fn remove_from_policy(&mut self, key: Key, event: impl FnOnce(JobKey) -> Observed) {
        if let Some(policy_key) = self.jobs.get_mut(key).and_then(|job| job.policy_key.take()) {
            self.by_policy.remove(policy_key);
            self.policy.observe(self.now_ms, event(policy_key));
        }
    }

    /// Removes a job from memory.
    pub(crate) fn remove_job(&mut self, key: Key) {
        self.remove_from_policy(key, |job| Observed::Removed { job });
        // Removes the job from the sets of jobs by phase.
        self.set_phase(key, Phase::Final);
        let Some(job) = self.jobs.remove(key) else { return };
        self.payload_bytes -= job.payload_bytes;
        self.by_id.remove(&job.id);
        self.discard_writes(key, job.open_write.as_ref());
        for attempt_lease in job.run.iter().flat_map(|run| &run.attempt_leases) {
            self.workers[attempt_lease.worker]
                .attempt_leases
                .remove(&attempt_lease.lease);
        }
    }

    /// Handles a caller's cancellation request; for an unknown job, the flag in its row takes effect later.
    pub(crate) fn cancel_requested(&mut self, job: JobId, actions: &mut Vec<Action>) {
        if let Some(key) = self.by_id.get(&job).copied() {
            self.cancel(key, actions);
        } else if self.mode == Mode::Recovering {
            self.early_cancels.insert(job);
        }
    }

    /// Cancels a job in any phase. A dispatched attempt is ended first.
    pub(crate) fn cancel(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.row.cancel_requested || job.phase == Phase::Final {
            return;
        }
        job.row.cancel_requested = true;
        match job.phase {
            Phase::Queued | Phase::Parked => self.end_cancelled(key, actions),
            // An adopted attempt is settled first; an unknown one stays unknown until a worker proves what ran.
            _ => self.end_run(key, EndCause::Cancelled, actions),
        }
    }

    /// Makes a job final as cancelled; no part of it runs.
    pub(crate) fn end_cancelled(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(key) else { return };
        let started = job.may_have_started();
        self.finalize(key, JobState::Cancelled, Outcome::Cancelled { started }, actions);
    }

    /// Merges a row that another process changed concurrently.
    pub(crate) fn resolve_conflict(
        &mut self,
        key: Key,
        current: Option<(Box<JobRow>, u64)>,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some((row, version)) = current.filter(|(row, _)| row.data_centre == self.data_centre) else {
            self.drop_superseded(key, None, actions);
            return;
        };
        let is_same_result = row.state.is_final() && row.state == job.row.state && row.attempts == job.row.attempts;
        if is_same_result && job.charges.is_empty() {
            self.publish_outcome(key, actions);
            self.remove_job(key);
            return;
        }
        let is_superseded = row.state.is_final()
            || row.attempts.last().is_some_and(|theirs| {
                let ours = job.row.attempts.iter().find(|ours| ours.number == theirs.number);
                let is_other = ours.is_some_and(|ours| ours.placement != theirs.placement);
                // Attempts that were read or written here before are settled, whether the row still lists them or not.
                is_other || (ours.is_none() && theirs.number > job.stored_attempt)
            });
        if is_superseded {
            self.drop_superseded(key, Some((row, version)), actions);
            return;
        }
        job.version = version;
        let is_recording = job.phase == Phase::Recording;
        if job.is_dirty {
            self.mark_dirty(key);
        }
        if row.cancel_requested && !is_recording {
            self.cancel(key, actions);
        } else if row.cancel_requested {
            self.jobs[key].row.cancel_requested = true;
            self.end_run(key, EndCause::Cancelled, actions);
        }
    }

    /// Drops a job whose row is owned by another lease holder or data centre; the own attempt is ended first.
    fn drop_superseded(&mut self, key: Key, replacement: Option<(Box<JobRow>, u64)>, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.is_dirty = false;
        job.charges.clear();
        job.replacement = replacement;
        if job.run.is_some() && job.phase != Phase::Final {
            self.end_run(key, EndCause::Superseded, actions);
        } else {
            self.replace_row(key, actions);
        }
    }

    /// Removes a job and processes the row that replaces it.
    pub(crate) fn replace_row(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let (id, replacement) = (job.id.clone(), job.replacement.take());
        let reported_attempt = job.last_attempt().max(job.reported_attempt);
        self.remove_job(key);
        if let Some((row, version)) = replacement {
            self.ingest_row(*row, version, actions);
        }
        if let Some(key) = self.by_id.get(&id) {
            // The numbers of the dropped attempts are known to workers and must not be reused.
            self.jobs[*key].reported_attempt = reported_attempt;
        }
    }

    /// Parks a job whose attempt is recorded or being recorded but was not dispatched.
    pub(crate) fn park_unstarted(&mut self, key: Key) {
        self.remove_from_policy(key, |job| Observed::Removed { job });
        if let Some(job) = self.jobs.get_mut(key) {
            job.set_attempt_state(model::AttemptState::NotStarted);
            job.row.state = JobState::Queued;
            job.run = None;
            job.is_dirty = true;
        }
        self.set_phase(key, Phase::Parked);
    }

    /// Submits parked jobs that may resume.
    pub(crate) fn unpark(&mut self, actions: &mut Vec<Action>) {
        if !self.is_in_service {
            return;
        }
        let may_resume = |key: &&Key| {
            let job = &self.jobs[**key];
            job.row.spec.idempotent || (self.is_store_up && job.open_write.is_none())
        };
        let keys: Vec<Key> = self
            .parked
            .iter()
            .take(MAX_PER_TICK)
            .filter(may_resume)
            .copied()
            .collect();
        for key in keys {
            self.submit(key, actions);
        }
    }

    /// While the data centre is out of service, moves queued and parked jobs to others that are in service.
    ///
    /// The row carries the checkpoints, so that the job resumes there.
    pub(crate) fn move_waiting_jobs(&mut self, actions: &mut Vec<Action>) {
        if self.is_in_service || !self.is_store_up {
            return;
        }
        let others: Vec<_> = (self.config.iter().flat_map(|config| &config.data_centres))
            .filter(|dc| dc.in_service && dc.id != self.data_centre)
            .map(|dc| dc.id.clone())
            .collect();
        if others.is_empty() {
            return;
        }
        let waiting = self.queued.iter().chain(&self.parked);
        let keys: Vec<Key> = waiting
            .filter(|key| self.jobs[**key].open_write.is_none())
            .take(MAX_PER_TICK)
            .copied()
            .collect();
        for (index, key) in keys.into_iter().enumerate() {
            self.move_job(key, others[index % others.len()].clone(), actions);
        }
    }
}
