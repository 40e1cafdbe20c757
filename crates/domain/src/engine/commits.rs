use std::collections::HashMap;

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};

use super::keys::JobKey;
use super::{Engine, WorkerKey};
use crate::{Action, Commit, EntryState};

/// Write in flight.
#[derive(Debug, Clone, Default)]
struct InFlight {
    sent_ms: u64,
    jobs: Vec<JobKey>,
    /// Worker, its incarnation and the number of its newest run end that the write makes durable.
    acked_ends: Vec<(WorkerKey, Option<u64>, u64)>,
    add_workers: Vec<CompactString>,
}

/// Pending writes and the write in flight.
#[derive(Debug, Clone, Default)]
pub(super) struct CommitState {
    in_flight: Option<InFlight>,
    retry_ms: u64,
    failures: u32,
    add_workers: IndexMap<CompactString, CompactString>,
    remove_workers: IndexSet<CompactString>,
    /// Durable counts of waiting jobs; `None` after a write that may have taken effect.
    written_pending: HashMap<CompactString, Option<u64>>,
    pending_due_ms: u64,
}

impl CommitState {
    pub fn contains(&self, job: JobKey) -> bool {
        self.in_flight.as_ref().is_some_and(|write| write.jobs.contains(&job))
    }

    pub fn remove_worker(&mut self, id: &CompactString) {
        self.add_workers.shift_remove(id);
        self.remove_workers.insert(id.clone());
    }
}

/// Commits of progress to the store.
impl Engine {
    /// Maximum number of workers in one write, so that jobs do not wait while a whole fleet registers.
    const WORKERS_PER_COMMIT: usize = 20;

    /// Maximum number of jobs whose rows one write removes; removal is never urgent.
    const REMOVALS_PER_COMMIT: usize = 5;

    /// Maximum number of waiting-job counts in one write.
    const PENDING_PER_COMMIT: usize = 20;

    /// Maximum number of rows about maintenance waves in one write.
    const WAVE_ROWS_PER_COMMIT: usize = 10;

    /// Maximum size of the progress and run records in one write. The store takes 1 MB, counts the encoded size, a third
    /// larger, and the rest of the transaction.
    const ROW_BYTES_PER_COMMIT: usize = 600_000;

    /// Maximum number of run records in one row; a fraction of what fits into a row.
    pub(super) const RECORDS_PER_ROW: usize = 100;

    /// Interval between writes of the waiting-job counts, which may be up to 2 s old.
    const PENDING_INTERVAL_MS: u64 = 500;

    /// Longest delay of changes that no caller waits for, so that several are written together.
    const MAX_COMMIT_DELAY_MS: u64 = 100;

    /// Pause after a failed write; doubles with each further failure, at most [`Engine::MAX_RETRY_DOUBLINGS`] times.
    const RETRY_MS: u64 = 50;

    /// Maximum number of times that the pause doubles.
    const MAX_RETRY_DOUBLINGS: u32 = 3;

    pub(super) fn mark_dirty(&mut self, key: JobKey, now_ms: u64) {
        let job = &mut self.jobs[key];
        job.dirty_since_ms.get_or_insert(now_ms);
        self.dirty.insert(key);
    }

    /// Writes pending changes if they are due and no write is in flight.
    pub(super) fn commit_due(&mut self, now_ms: u64) {
        if self.commit.in_flight.is_some() || now_ms < self.commit.retry_ms || !self.is_loaded {
            return;
        }
        self.finished.assign_due_times(now_ms, self.limits.keep_finished_ms);
        let has_finished = !self.finished.due(now_ms, 1).is_empty();
        let has_workers = !self.commit.add_workers.is_empty()
            || !self.commit.remove_workers.is_empty()
            || self.last_runs.is_due
            || self.last_runs.awaits_rows
            || !self.waves.unpublished().is_empty()
            || !self.waves.unwritten_rows(1).is_empty()
            || self.are_speed_rows_overdue(now_ms);
        let has_unacked = !self.unacked.is_empty();
        let is_pending_due = now_ms >= self.commit.pending_due_ms && {
            self.commit.pending_due_ms = now_ms + Self::PENDING_INTERVAL_MS;
            !self.changed_pending().is_empty()
        };
        if self.dirty.is_empty() && !has_workers && !is_pending_due && !has_finished {
            self.ack_ends_without_change(now_ms);
            return;
        }
        let is_due = has_workers
            || has_finished
            || is_pending_due
            || has_unacked
            || self.dirty.iter().any(|key| {
                let job = &self.jobs[*key];
                job.is_urgent
                    || job
                        .dirty_since_ms
                        .is_some_and(|since| now_ms >= since + Self::MAX_COMMIT_DELAY_MS)
            });
        if is_due {
            self.start_commit(now_ms);
        }
    }

    /// Returns the counts of queued jobs by queue, where they differ from the durable counts.
    fn changed_pending(&self) -> Vec<(CompactString, u64)> {
        let mut counts: HashMap<&CompactString, u64> = self
            .config
            .routes
            .iter()
            .map(|route| (&route.name, 0))
            .chain(self.commit.written_pending.keys().map(|route| (route, 0)))
            .collect();
        let waiting = self.jobs.values().filter(|job| job.state == crate::JobState::Queued);
        for job in waiting {
            *counts.entry(&job.spec.route).or_default() += 1;
        }
        counts
            .into_iter()
            .filter(|(route, count)| {
                let written = self.commit.written_pending.get(*route).copied();
                written.unwrap_or(Some(0)) != Some(*count)
            })
            .map(|(route, count)| (route.clone(), count))
            .take(Self::PENDING_PER_COMMIT)
            .collect()
    }

    /// Sets a durable count of waiting jobs that a former scheduler wrote.
    pub fn set_written_pending(&mut self, route: &str, count: u64) {
        self.commit.written_pending.insert(route.into(), Some(count));
    }

    /// Acknowledges run ends that change no job; they need no write.
    fn ack_ends_without_change(&mut self, now_ms: u64) {
        for key in std::mem::take(&mut self.unacked) {
            let worker = &mut self.workers[key];
            worker.acked_end = worker.processed_end;
            self.set_renew_due(key, now_ms);
        }
    }

    /// Records workers before their first start, and drops the records of draining workers on which nothing can run any
    /// more: a successor would wait for the reply of a worker that has exited by then.
    pub(super) fn queue_worker_rows(&mut self) {
        if self.commit.in_flight.is_some() || !self.is_loaded {
            return;
        }
        for worker in self.workers.values_mut() {
            let id = &worker.entry.id;
            let is_ready = worker.is_listed && worker.entry.state == EntryState::Ready;
            if is_ready && !worker.is_recorded && !id.is_empty() {
                self.commit.add_workers.insert(id.clone(), worker.entry.address.clone());
                self.commit.remove_workers.swap_remove(id);
            }
            // A start without a reply stays in the list of runs until it is void or its lease has expired.
            let is_empty = worker.runs.is_empty() && worker.is_fenced && worker.processed_end == worker.acked_end;
            if worker.is_recorded && is_empty && matches!(worker.entry.state, EntryState::Draining { .. }) {
                worker.is_recorded = false;
                self.commit.remove_worker(id);
            }
        }
    }

    fn start_commit(&mut self, now_ms: u64) {
        let mut commit = Commit {
            add_workers: self.workers_to_add(),
            remove_workers: self.workers_to_remove(),
            remove_jobs: self.finished.due(now_ms, Self::REMOVALS_PER_COMMIT),
            pending: self.changed_pending(),
            waves: self.waves.unpublished(),
            wave_rows: self.waves.unwritten_rows(Self::WAVE_ROWS_PER_COMMIT),
            ..Commit::default()
        };
        self.add_last_runs_to(&mut commit, now_ms);
        let mut write = InFlight {
            sent_ms: now_ms,
            add_workers: commit.add_workers.iter().map(|(id, _)| id.clone()).collect(),
            ..InFlight::default()
        };
        let mut keys: Vec<_> = self.dirty.iter().copied().collect();
        keys.sort_by_key(|key| !self.jobs[*key].is_urgent);
        let mut row_bytes = 0;
        for key in keys {
            if commit.entries() + Commit::ROW_ENTRIES > Commit::MAX_ENTRIES {
                break;
            }
            let row = self.commit_row(key, now_ms);
            row_bytes += row.bytes();
            if row_bytes > Self::ROW_BYTES_PER_COMMIT {
                break;
            }
            commit.rows.push(row);
            write.jobs.push(key);
            let job = &mut self.jobs[key];
            if job.records.len() > Self::RECORDS_PER_ROW {
                // The remaining records follow in the next write; until then, no run end counts as durable.
                continue;
            }
            self.dirty.shift_remove(&key);
            let job = &mut self.jobs[key];
            job.is_urgent = false;
            job.dirty_since_ms = None;
        }
        self.add_speed_rows_to(&mut commit, now_ms);
        if self.dirty.is_empty() {
            // This write contains all changes that the run ends caused.
            write.acked_ends = self
                .unacked
                .iter()
                .map(|key| (*key, &self.workers[*key]))
                .map(|(key, worker)| (key, worker.process_started_unix_ms, worker.processed_end))
                .collect();
        }
        self.commit.in_flight = Some(write);
        self.actions.push(Action::Commit(commit));
    }

    fn workers_to_add(&self) -> Vec<(CompactString, CompactString)> {
        let added = self.commit.add_workers.iter().take(Self::WORKERS_PER_COMMIT);
        added.map(|(id, address)| (id.clone(), address.clone())).collect()
    }

    fn workers_to_remove(&self) -> Vec<CompactString> {
        let removed = self.commit.remove_workers.iter().take(Self::WORKERS_PER_COMMIT);
        removed.cloned().collect()
    }

    /// Handles the confirmation that the write in flight is durable.
    pub fn committed(&mut self, commit: &Commit, version: u64, now_ms: u64) {
        let Some(write) = self.commit.in_flight.take() else {
            return;
        };
        self.commit.failures = 0;
        self.start_bound.observe(now_ms.saturating_sub(write.sent_ms), now_ms);
        for id in &write.add_workers {
            self.commit.add_workers.shift_remove(id);
            if let Some(key) = self.worker_ids.get(id) {
                self.workers[*key].is_recorded = true;
            }
        }
        for id in &commit.remove_workers {
            self.commit.remove_workers.swap_remove(id);
        }
        self.last_runs.committed(commit);
        self.runs_listed(commit);
        // The next scan determines which rows are still due.
        self.last_runs.is_due = false;
        self.finished.removed(&commit.remove_jobs);
        self.waves_published(&commit.waves);
        self.wave_rows_written(&commit.wave_rows);
        self.speed_rows_written(&commit.speed_rows, now_ms);
        for (route, count) in &commit.pending {
            self.commit.written_pending.insert(route.clone(), Some(*count));
        }
        for (key, process_started_unix_ms, acked_end) in &write.acked_ends {
            let Some(worker) = self.workers.get_mut(*key) else {
                continue;
            };
            if worker.process_started_unix_ms == *process_started_unix_ms {
                worker.acked_end = worker.acked_end.max(*acked_end);
                if worker.acked_end >= worker.processed_end {
                    self.unacked.swap_remove(key);
                }
                self.set_renew_due(*key, now_ms);
            }
        }
        for (key, row) in write.jobs.into_iter().zip(&commit.rows) {
            if let Some(job) = self.jobs.get_mut(key) {
                job.version = version;
                job.has_unsaved_crash &= self.dirty.contains(&key);
                if let Some((_, records)) = &row.records {
                    job.records.drain(..records.len());
                    job.record_rows += 1;
                }
                self.drop_if_finished(key);
            }
        }
        self.is_schedule_due = true;
    }

    /// Handles the failure of the write in flight. `current` holds versions of progress rows that differ from the
    /// expected ones, because an earlier write whose reply was lost took effect.
    ///
    /// This one may take effect as well, at any time until a newer write has replaced the revision.
    pub fn commit_failed(&mut self, commit: &Commit, current: &[(CompactString, u64)], now_ms: u64) {
        let Some(write) = self.commit.in_flight.take() else {
            return;
        };
        for (route, _) in &commit.pending {
            self.commit.written_pending.insert(route.clone(), None);
        }
        self.speed_rows_in_doubt(&commit.speed_rows, now_ms);
        for key in write.jobs {
            if self.jobs.contains_key(key) {
                self.jobs[key].is_urgent = true;
                self.mark_dirty(key, now_ms);
            }
        }
        for (id, version) in current {
            if let Some(key) = self.job_ids.get(id) {
                self.jobs[*key].version = *version;
            }
        }
        self.start_bound.observe(now_ms.saturating_sub(write.sent_ms), now_ms);
        let pause_ms = Self::RETRY_MS << self.commit.failures.min(Self::MAX_RETRY_DOUBLINGS);
        self.commit.failures += 1;
        self.commit.retry_ms = if current.is_empty() { now_ms + pause_ms } else { now_ms };
    }
}
