use std::collections::{BTreeSet, HashMap, VecDeque};

use model::JobState;
use policy::Policy;
use trace::{Event, EventKind};

use crate::job::{Key, OpenWrite, Phase};
use crate::scheduler::{Scheduler, Timer};
use crate::{Action, WriteId, WriteOutcome};

/// Store writes: queues by priority, open writes, and jobs whose rows wait for the store.
#[derive(Debug, Clone, Default)]
pub(crate) struct Writes {
    next: u64,
    open: HashMap<WriteId, Key>,
    /// Number of open writes whose result was not reported as unknown.
    in_flight: usize,
    /// Queued attempt records, for which a start waits; written first.
    attempts: VecDeque<Key>,
    /// Queued writes of other rows.
    rows: VecDeque<Key>,
    /// Jobs whose rows could not be written, or may not have been, while the store was unavailable.
    pub(crate) buffered: BTreeSet<Key>,
}

impl Writes {
    /// Returns whether nothing is open, queued or buffered.
    pub(crate) fn is_idle(&self) -> bool {
        self.open.is_empty() && self.attempts.is_empty() && self.rows.is_empty() && self.buffered.is_empty()
    }
}

impl<P: Policy> Scheduler<P> {
    /// Queues the row of a job to be written. One write per job is open at a time.
    pub(crate) fn mark_dirty(&mut self, key: Key) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.is_dirty = true;
        if job.open_write.is_none() && !job.is_write_queued {
            job.is_write_queued = true;
            if job.phase == Phase::Recording {
                self.writes.attempts.push_back(key);
            } else {
                self.writes.rows.push_back(key);
            }
        }
    }

    /// Issues queued writes up to the limit of writes in flight.
    pub(crate) fn issue_queued_writes(&mut self, actions: &mut Vec<Action>) {
        while self.writes.in_flight < self.settings.max_open_writes || !self.is_store_up {
            let next = self
                .writes
                .attempts
                .pop_front()
                .or_else(|| self.writes.rows.pop_front());
            let Some(key) = next else { return };
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.is_write_queued = false;
            if !job.is_dirty || job.open_write.is_some() {
                continue;
            }
            if self.is_store_up {
                self.issue_write(key, actions);
            } else {
                self.writes.buffered.insert(key);
                self.continue_without_store(key, actions);
            }
        }
    }

    fn issue_write(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        self.writes.next += 1;
        let id = WriteId(self.writes.next);
        job.is_dirty = false;
        let charge = (!job.charges.is_empty()).then(|| job.charges.remove(0));
        let mut row = job.row.clone();
        if !job.charges.is_empty() && row.state.is_final() {
            // A write carries one charge; the row becomes final with the last one.
            row.state = JobState::Running;
            job.is_dirty = true;
        }
        let is_final = job.phase == Phase::Final && !job.is_dirty;
        job.open_write = Some(OpenWrite {
            id,
            attempt: job.last_attempt(),
            is_final,
            charge: charge.clone(),
            is_unknown: false,
        });
        self.writes.open.insert(id, key);
        self.writes.in_flight += 1;
        actions.push(Action::Write {
            write: id,
            row: Box::new(row),
            expected_version: job.version,
            answer: if is_final { job.answer.clone() } else { None },
            charge: charge.map(Box::new),
        });
    }

    /// Handles the result of a write.
    pub(crate) fn written(&mut self, write: WriteId, outcome: WriteOutcome, actions: &mut Vec<Action>) {
        let Some(key) = self.writes.open.get(&write).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            self.close_write(write);
            return;
        };
        let Some(open) = job.open_write.as_mut().filter(|open| open.id == write) else {
            return;
        };
        if outcome == WriteOutcome::Unknown {
            if !open.is_unknown {
                open.is_unknown = true;
                self.writes.in_flight -= 1;
                self.writes.buffered.insert(key);
                self.continue_without_store(key, actions);
            }
            return;
        }
        let Some(open) = job.open_write.take() else { return };
        self.writes.open.remove(&write);
        if !open.is_unknown {
            self.writes.in_flight -= 1;
        }
        match outcome {
            WriteOutcome::Done { version } => {
                self.writes.buffered.remove(&key);
                self.write_done(key, &open, version, actions);
            }
            WriteOutcome::Unavailable => {
                job.is_dirty = true;
                job.charges.splice(0..0, open.charge);
                self.writes.buffered.insert(key);
                self.arm(self.now_ms + self.settings.write_retry_ms, Timer::Writes);
                self.continue_without_store(key, actions);
            }
            WriteOutcome::Conflict { current } => {
                self.writes.buffered.remove(&key);
                job.is_dirty = true;
                job.charges.splice(0..0, open.charge);
                self.resolve_conflict(key, current, actions);
            }
            WriteOutcome::Unknown => {}
        }
    }

    fn close_write(&mut self, write: WriteId) {
        if self.writes.open.remove(&write).is_some() {
            self.writes.in_flight = self.writes.in_flight.saturating_sub(1);
        }
    }

    /// Discards the buffered and the open write of a job that is removed.
    pub(crate) fn discard_writes(&mut self, key: Key, open: Option<&OpenWrite>) {
        self.writes.buffered.remove(&key);
        if let Some(open) = open {
            self.writes.open.remove(&open.id);
            if !open.is_unknown {
                self.writes.in_flight -= 1;
            }
        }
    }

    fn write_done(&mut self, key: Key, open: &OpenWrite, version: u64, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.version = version;
        job.stored_attempt = job.stored_attempt.max(open.attempt);
        let (id, phase, is_dirty) = (job.id.clone(), job.phase, job.is_dirty);
        if let Some(charge) = &open.charge {
            let event = Event::new(EventKind::ChargeWritten).attempt(charge.attempt);
            self.event(event.job(id.clone()), actions);
        }
        if open.is_final && phase == Phase::Final && !is_dirty {
            self.publish_outcome(key, actions);
            self.remove_job(key);
            return;
        }
        if is_dirty {
            self.mark_dirty(key);
        }
        let is_recorded = self
            .jobs
            .get(key)
            .and_then(|job| job.run.as_ref())
            .map(|run| run.number);
        if phase == Phase::Recording && is_recorded == Some(open.attempt) {
            let event = Event::new(EventKind::AttemptRecorded).attempt(open.attempt);
            self.event(event.job(id), actions);
            self.reserve(key, actions);
        }
    }

    /// Continues without the store where that is permitted: idempotent work runs, other work waits.
    fn continue_without_store(&mut self, key: Key, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(key) else { return };
        let is_idempotent = job.row.spec.idempotent;
        match job.phase {
            Phase::Recording if is_idempotent => self.reserve(key, actions),
            Phase::Recording => self.park_unstarted(key),
            Phase::Final if is_idempotent => self.publish_outcome(key, actions),
            _ => {}
        }
    }

    /// Handles a change of the store's availability.
    pub(crate) fn store_reachable(&mut self, is_up: bool, actions: &mut Vec<Action>) {
        if self.is_store_up == is_up {
            return;
        }
        self.is_store_up = is_up;
        let kind = if is_up {
            EventKind::StoreUp
        } else {
            EventKind::StoreDown
        };
        self.event(Event::new(kind), actions);
        if is_up {
            self.requeue_writes();
        }
    }

    /// Queues the buffered rows again.
    pub(crate) fn requeue_writes(&mut self) {
        let waiting: Vec<Key> = self.writes.buffered.iter().copied().collect();
        for key in waiting {
            if self
                .jobs
                .get(key)
                .is_some_and(|job| job.is_dirty && job.open_write.is_none())
            {
                self.mark_dirty(key);
            }
        }
    }
}
