use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use compact_str::CompactString;

use super::job_entry::{JobEntry, Occurrence};
use super::worker::Worker;
use super::{Engine, WorkerKey};
use crate::{EntryState, StoredJob, WorkerEntry};

/// Loading of store rows and worker entries.
impl Engine {
    /// Adds a job with its progress.
    pub fn add_job(&mut self, stored: StoredJob, now_ms: u64, now_unix_ms: u64) {
        let StoredJob {
            job: spec,
            progress,
            inserted_version,
            progress_version,
        } = stored;
        // The feed may repeat the row of a job that has become final since; it carries no progress.
        if self.job_ids.contains_key(&spec.id) || self.finished.contains(&spec.id) {
            return;
        }
        if progress.state.is_final() {
            self.finished.push(spec.id.clone());
            self.ended_jobs.insert(spec.id.clone(), Rc::new(spec));
            return;
        }
        if spec.accept_epoch > self.epoch {
            // A newer scheduler exists and owns this job.
            return;
        }
        self.start_bound.request(inserted_version);
        let id = spec.id.clone();
        let entry = JobEntry {
            spec: Rc::new(spec),
            state: progress.state,
            inserted_version,
            version: progress_version,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            is_cancelled: false,
            accepted_ms: now_ms,
            is_urgent: false,
            has_unsaved_crash: false,
            is_row_reduced: false,
            loaded: Some(progress),
            dirty_since_ms: None,
            records: Vec::new(),
            record_rows: 0,
        };
        let age_ms = now_unix_ms
            .saturating_sub(entry.spec.accepted_unix_ms)
            .min(Self::MAX_AGE_MS);
        let key = self.jobs.insert(entry);
        self.jobs[key].accepted_ms = now_ms.saturating_sub(age_ms);
        self.job_ids.insert(id, key);
        self.open_occurrences_of(key, now_ms, now_unix_ms);
        self.recall_trials(key, now_ms);
        self.is_schedule_due = true;
    }

    /// Maximum age of a job in the queue order; bounds the effect of a wrong clock.
    const MAX_AGE_MS: u64 = 600_000;

    /// Marks all rows of the store as read.
    pub fn set_loaded(&mut self, now_ms: u64) {
        self.is_loaded = true;
        self.recall_unresponsive(now_ms);
        self.is_schedule_due = true;
    }

    /// Adds a worker that former schedulers used; it may run tasks although it is not listed.
    pub fn add_recorded_worker(&mut self, id: &CompactString, address: &CompactString, now_ms: u64) {
        if let Some(key) = self.worker_ids.get(id) {
            self.workers[*key].is_recorded = true;
            return;
        }
        let entry = WorkerEntry {
            id: id.clone(),
            address: address.clone(),
            service: CompactString::default(),
            data_centre: CompactString::default(),
            rack: CompactString::default(),
            labels: Vec::new(),
            capacity: crate::Resources::default(),
            state: EntryState::Ready,
            process_started_unix_ms: None,
        };
        let mut worker = Worker::new(entry, false, now_ms);
        worker.is_recorded = true;
        worker.lease_expiry_ms = self.former_acts_until_ms + self.limits.lease_expiry_ms();
        self.insert_worker(worker);
    }

    fn insert_worker(&mut self, worker: Worker) -> WorkerKey {
        let (id, due_ms) = (worker.entry.id.clone(), worker.renew_due_ms);
        let key = self.workers.insert(worker);
        self.worker_ids.insert(id, key);
        self.renewals.insert(key, due_ms);
        key
    }

    /// Takes note of a reply of the store that held all changes of the list of workers up to `as_of_ms`.
    pub fn confirm_worker_list(&mut self, as_of_ms: u64) {
        self.is_schedule_due |= self.worker_list_freshness.confirm(as_of_ms);
    }

    /// Takes note of a reply of the store that held all new jobs and cancellations up to `as_of_ms`.
    pub fn confirm_jobs(&mut self, as_of_ms: u64) {
        self.is_schedule_due |= self.jobs_freshness.confirm(as_of_ms);
    }

    /// Returns the age of the list of workers if it is too old for new starts: a worker may have shrunk since.
    pub(super) fn stale_worker_list_ms(&self, now_ms: u64) -> Option<u64> {
        self.worker_list_freshness.stale_ms(now_ms)
    }

    /// Returns the age of the newest known cancellations if it is too high for new starts: jobs may be cancelled since.
    pub(super) fn stale_jobs_ms(&self, now_ms: u64) -> Option<u64> {
        self.jobs_freshness.stale_ms(now_ms)
    }

    /// Returns whether the list of workers or what is known of jobs is too old for starts.
    pub(super) fn has_stale_feed(&self, now_ms: u64) -> bool {
        self.stale_worker_list_ms(now_ms).is_some() || self.stale_jobs_ms(now_ms).is_some()
    }

    /// Returns whether the list of workers and what is known of jobs are new enough for starts; logs when that changes.
    pub(super) fn has_current_feeds(&mut self, now_ms: u64) -> bool {
        self.log_lines.extend(self.worker_list_freshness.log_line(now_ms));
        self.log_lines.extend(self.jobs_freshness.log_line(now_ms));
        !self.has_stale_feed(now_ms)
    }

    /// Adds or updates a worker from its entry in the platform's list.
    pub fn set_worker(&mut self, entry: WorkerEntry, now_ms: u64) {
        self.is_schedule_due = true;
        if let Some(key) = self.worker_ids.get(&entry.id).copied() {
            let worker = &mut self.workers[key];
            let is_restarted = matches!(
                (worker.process_started_unix_ms, entry.process_started_unix_ms),
                (Some(old), Some(new)) if old < new
            );
            worker.is_listed = true;
            worker.was_former_draining |= is_restarted && worker.draining_since_ms.is_some();
            match entry.state {
                EntryState::Draining { .. } if worker.draining_since_ms.is_none() => {
                    worker.draining_since_ms = Some(now_ms);
                    self.log_lines
                        .push(format!("worker_draining worker={} state={:?}", entry.id, entry.state));
                }
                EntryState::Ready => worker.draining_since_ms = None,
                EntryState::Draining { .. } => {}
            }
            if let EntryState::Draining { remaining_ms } = entry.state {
                worker.earliest_exit_ms = now_ms + remaining_ms;
            }
            worker.entry = entry;
            if is_restarted {
                // The renewal is sent at once; its reply ends the runs of the former incarnation.
                worker.is_restart_pending = true;
                self.set_renew_due(key, now_ms);
            }
            self.import_speed(key);
            return;
        }
        let mut worker = Worker::new(entry, true, now_ms);
        if let EntryState::Draining { remaining_ms } = worker.entry.state {
            worker.draining_since_ms = Some(now_ms);
            worker.earliest_exit_ms = now_ms + remaining_ms;
        }
        let started_unix_ms = worker.entry.process_started_unix_ms;
        let key = self.insert_worker(worker);
        self.resolve_lost_process(key, started_unix_ms, now_ms);
        self.import_speed(key);
    }

    /// Marks a worker as no longer in the platform's list.
    pub fn unlist_worker(&mut self, id: &str, now_ms: u64) {
        if let Some(key) = self.worker_ids.get(id).copied() {
            self.workers[key].is_listed = false;
            self.set_renew_due(key, now_ms);
            self.log_lines.push(format!("worker_unlisted worker={id}"));
        }
    }

    /// Returns the ids of all listed workers.
    pub fn listed_workers(&self) -> Vec<CompactString> {
        self.workers
            .values()
            .filter(|worker| worker.is_listed)
            .map(|worker| worker.entry.id.clone())
            .collect()
    }

    /// Returns the addresses of all workers that may have runs.
    pub fn worker_addresses(&self) -> HashSet<CompactString> {
        self.workers
            .values()
            .map(|worker| worker.entry.address.clone())
            .collect()
    }

    /// Opens the occurrences that are due.
    pub(super) fn open_occurrences(&mut self, now_ms: u64, now_unix_ms: u64) {
        let scheduled: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.spec.times > 0 && !job.is_final() && job.next_occurrence < job.spec.times)
            .map(|(key, _)| key)
            .collect();
        for key in scheduled {
            self.open_occurrences_of(key, now_ms, now_unix_ms);
        }
    }

    fn open_occurrences_of(&mut self, key: super::keys::JobKey, now_ms: u64, now_unix_ms: u64) {
        let job = &mut self.jobs[key];
        let spec = std::rc::Rc::clone(&job.spec);
        while job.next_occurrence < spec.occurrences() {
            let number = job.next_occurrence;
            if spec.times > 0 && now_unix_ms < spec.first_run_unix_ms + u64::from(number) * spec.interval_ms {
                break;
            }
            let steps = job.loaded_steps(number);
            let due_ms = if spec.times == 0 { job.accepted_ms } else { now_ms };
            job.occurrences.insert(number, Occurrence { steps, due_ms });
            job.next_occurrence += 1;
            self.is_schedule_due = true;
        }
    }

    /// Takes note once the leases that former schedulers gave have certainly expired.
    pub(super) fn expire_former_leases(&mut self, now_ms: u64) {
        self.have_former_leases_expired |= now_ms >= self.former_acts_until_ms + self.limits.lease_expiry_ms();
    }

    /// Returns whether runs of an earlier epoch may be on a worker that has not replied since.
    pub(super) fn has_unreported_workers(&self) -> bool {
        !self.have_former_leases_expired && self.workers.values().any(Worker::may_hold_unreported_runs)
    }

    /// Returns whether an earlier epoch may have started tasks of a job.
    pub(super) fn may_have_started_before(&self, job: &JobEntry) -> bool {
        job.spec.accept_epoch < self.epoch && self.start_bound.may_have_started_before(job)
    }
}
