use std::collections::BTreeMap;

use model::{
    Attempt, AttemptState, Epoch, Inventory, JobId, JobRow, JobState, LeaseId, LeaseKind, PartPlacement, TaskReport,
    TaskState, WorkerId,
};
use policy::{Event as Observed, Policy, WorkerKey};
use trace::{Event, EventKind};

use crate::Action;
use crate::job::{Key, Phase};
use crate::run::{EndCause, LeaseState, PartState, Run};
use crate::scheduler::{Mode, Scheduler, Timer};
use crate::worker_state::{Health, WorkerState};

/// Margin subtracted from the retention of task reports, to allow for clock differences between instances.
const RETENTION_MARGIN_MS: u64 = 60_000;

impl<P: Policy> Scheduler<P> {
    /// Begins recovery: fences every worker and reads the rows.
    pub(crate) fn elected(&mut self, epoch: Epoch, actions: &mut Vec<Action>) {
        if self.mode != Mode::Standby {
            if epoch <= self.epoch {
                return;
            }
            self.step_down("elected_again", actions);
        }
        self.mode = Mode::Recovering;
        self.epoch = epoch;
        self.lease_sequence = 0;
        self.is_scanned = false;
        self.event(Event::new(EventKind::SchedulerElected), actions);
        for ix in 0..self.workers.len() {
            self.workers[ix].last_reply_ms = self.now_ms;
            self.probe(ix, actions);
        }
        actions.push(Action::ScanJobs);
        self.recovery_until_ms = self.now_ms + self.settings.recovery_wait_ms;
        self.arm(self.recovery_until_ms, Timer::Recovery);
    }

    /// Handles the rows of unfinished jobs.
    pub(crate) fn job_rows(&mut self, rows: Vec<(JobRow, u64)>, actions: &mut Vec<Action>) {
        let is_recovering = self.mode == Mode::Recovering;
        for (row, version) in rows {
            self.submitted(row, version, actions);
        }
        if is_recovering {
            self.is_scanned = true;
            self.check_recovered(actions);
        }
    }

    /// Ends recovery once the rows are read and every worker has answered or the time for it has passed.
    pub(crate) fn check_recovered(&mut self, actions: &mut Vec<Action>) {
        if self.mode != Mode::Recovering {
            return;
        }
        let is_late = self.recovery_until_ms <= self.now_ms;
        if !self.is_scanned {
            if is_late {
                actions.push(Action::ScanJobs);
                self.recovery_until_ms = self.now_ms + self.settings.recovery_wait_ms;
                self.arm(self.recovery_until_ms, Timer::Recovery);
            }
            return;
        }
        let has_replied = |worker: &WorkerState| worker.inventory.is_some() || worker.fence_op.is_none();
        if is_late || self.workers.iter().all(has_replied) {
            self.recovered(actions);
        }
    }

    fn recovered(&mut self, actions: &mut Vec<Action>) {
        let inventories: BTreeMap<usize, Box<Inventory>> = (self.workers.iter_mut().enumerate())
            .filter_map(|(ix, worker)| Some((ix, worker.inventory.take()?)))
            .collect();
        for report in inventories.values().flat_map(|inventory| &inventory.tasks) {
            if let Some(checkpoint) = &report.checkpoint {
                let key = (report.task.job.clone(), report.task.attempt);
                let found = self.found_checkpoints.entry(key).or_default();
                found.insert(report.task.part, checkpoint.clone());
            }
        }
        for (row, version) in std::mem::take(&mut self.early_rows).into_values() {
            self.ingest_row(row, version, actions);
        }
        self.early_cancels.clear();
        self.found_checkpoints.clear();
        self.mode = Mode::Active;
        let waiting: Vec<Key> = self.parked.iter().copied().collect();
        self.adopt_unrecorded(&inventories, actions);
        let op = self.next_op();
        let count = self.workers.len() as u64;
        for ix in 0..self.workers.len() {
            if let Some(inventory) = inventories.get(&ix) {
                self.workers[ix].needs_inventory = false;
                self.reconcile(ix, inventory, op, actions);
                self.mark_up(ix, inventory.leaving, actions);
            } else {
                self.mark_down(ix, actions);
            }
            // Spreads the renewals over the interval.
            let offset_ms = ix as u64 * self.settings.worker_renew_interval_ms / count;
            self.arm_worker(ix, self.now_ms + offset_ms);
        }
        // Waiting jobs are submitted last: an inventory may prove that a job runs although its row does not record it.
        let has_unresponsive_worker = inventories.len() < self.workers.len();
        for key in waiting {
            if let Some(job) = self.jobs.get_mut(key).filter(|job| job.phase == Phase::Parked) {
                job.may_run_unrecorded = has_unresponsive_worker && job.row.spec.idempotent;
                self.submit(key, actions);
            }
        }
        let adopting: Vec<Key> = self.transient.iter().copied().collect();
        for key in adopting {
            self.adopt_in_policy(key);
        }
        self.arm(self.now_ms + self.settings.scan_interval_ms, Timer::Scan);
        self.event(Event::new(EventKind::SchedulerRecovered), actions);
        self.supply_grants(actions);
    }

    /// Adopts the last attempt of a row, which a former lease holder or this instance recorded earlier.
    pub(crate) fn adopt(&mut self, key: Key, actions: &mut Vec<Action>) {
        let live_until_ms = self.now_ms + self.settings.worker_timeout_ms + self.settings.slot_lease_ttl_ms;
        let job = &self.jobs[key];
        let Some(attempt) = job.row.attempts.last().cloned() else {
            return;
        };
        let was_stopped = attempt.state == AttemptState::Stopped;
        let age_ms = self.now_unix_ms.saturating_sub(attempt.recorded_unix_ms);
        let part = || {
            if was_stopped {
                PartState::Running
            } else {
                PartState::Sent
            }
        };
        let mut run = Run::new(attempt.number, &attempt.placement, LeaseState::Inherited, part, |id| {
            self.index_of(id)
        });
        run.is_absence_proof = age_ms + RETENTION_MARGIN_MS < self.settings.task_retention_ms;
        run.started_ms = self.now_ms.saturating_sub(age_ms);
        if was_stopped {
            run.cause = Some(EndCause::Preempted);
        } else if self.jobs[key].row.cancel_requested {
            run.cause = Some(EndCause::Cancelled);
        }
        let mut workers = Vec::new();
        for attempt_lease in &mut run.attempt_leases {
            attempt_lease.live_until_ms = live_until_ms;
            self.workers[attempt_lease.worker]
                .attempt_leases
                .insert(attempt_lease.lease, key);
            workers.push(attempt_lease.worker);
        }
        self.jobs[key].run = Some(run);
        self.set_phase(key, Phase::Adopting);
        for ix in workers {
            // The inventory of a worker that is coming up was read before the attempt was known.
            self.workers[ix].needs_inventory = true;
            if self.workers[ix].health == Health::Up {
                self.probe(ix, actions);
            }
        }
    }

    /// Reserves in the policy the capacity that an adopted attempt occupies.
    ///
    /// An attempt with a lease that is proven not to exist reserves nothing: a stale row may name capacity that another
    /// job occupies by now.
    pub(crate) fn adopt_in_policy(&mut self, key: Key) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(run) = job.run.as_ref().filter(|run| run.cause.is_none()) else {
            return;
        };
        let Some(attempt) = job.row.attempts.last() else { return };
        let places = attempt.placement.parts.iter();
        let keys: Option<Vec<WorkerKey>> = places.map(|place| self.policy.worker_key(&place.worker)).collect();
        if let Some(keys) = keys
            && job.policy_key.is_none()
            && run.all_leases_in(&[LeaseState::Granted, LeaseState::Inherited])
        {
            let policy_key = self.policy.adopt(self.now_ms, &job.row.spec, &keys);
            job.policy_key = Some(policy_key);
            self.by_policy.insert(policy_key, key);
        }
    }

    fn index_of(&mut self, id: &WorkerId) -> usize {
        if let Some(ix) = self.worker_index.get(id) {
            return *ix;
        }
        // A worker that is no longer listed may still run an attempt; it is fenced until the attempt is settled.
        let ix = self.workers.len();
        let mut worker = WorkerState::new(id.clone(), self.policy.worker_key(id));
        worker.health = Health::Down;
        self.workers.push(worker);
        self.worker_index.insert(id.clone(), ix);
        self.arm_worker(ix, self.now_ms);
        ix
    }

    /// Rebuilds attempts that a former lease holder started during a store outage, from the inventories alone.
    fn adopt_unrecorded(&mut self, inventories: &BTreeMap<usize, Box<Inventory>>, actions: &mut Vec<Action>) {
        let mut found: BTreeMap<JobId, Vec<(&WorkerId, &TaskReport)>> = BTreeMap::new();
        for inventory in inventories.values() {
            for report in &inventory.tasks {
                let Some(key) = self.by_id.get(&report.task.job) else {
                    continue;
                };
                let job = &self.jobs[*key];
                let is_useful = matches!(report.state, TaskState::Running | TaskState::Finished);
                if report.task.attempt > job.last_attempt() && is_useful {
                    found
                        .entry(job.id.clone())
                        .or_default()
                        .push((&inventory.worker, report));
                }
            }
        }
        for (id, mut reports) in found {
            let key = self.by_id[&id];
            let Some(number) = reports.iter().map(|(_, report)| report.task.attempt).max() else {
                continue;
            };
            reports.retain(|(_, report)| report.task.attempt == number);
            reports.sort_by_key(|(_, report)| report.task.part);
            let parts = usize::from(self.jobs[key].row.spec.shape.parts);
            let is_complete = reports.len() == parts
                && (reports.iter().enumerate()).all(|(index, (_, report))| usize::from(report.task.part) == index);
            if !is_complete {
                // The leases of an incomplete gang are revoked as unknown ones.
                continue;
            }
            self.remove_from_policy(key, |job| Observed::Removed { job });
            let job = &mut self.jobs[key];
            // An earlier attempt in the row had ended, or this one would not have started.
            for attempt_lease in job.run.take().iter().flat_map(|run| &run.attempt_leases) {
                self.workers[attempt_lease.worker]
                    .attempt_leases
                    .remove(&attempt_lease.lease);
            }
            job.set_attempt_state(AttemptState::Stopped);
            let place = |(worker, report): &(&WorkerId, &TaskReport)| PartPlacement {
                worker: (*worker).clone(),
                lease: report.lease,
            };
            job.row.attempts.push(Attempt {
                number,
                epoch: reports[0].1.lease.epoch,
                placement: reports.iter().map(place).collect(),
                state: AttemptState::Recorded,
                recorded_unix_ms: self.now_unix_ms,
            });
            job.row.state = JobState::Running;
            self.adopt(key, actions);
            self.mark_dirty(key);
        }
    }

    /// Reconciles the leases at a worker with its inventory, which was read by the command with number `op`.
    pub(crate) fn reconcile(&mut self, ix: usize, inventory: &Inventory, op: u64, actions: &mut Vec<Action>) {
        let mut reports: BTreeMap<LeaseId, Vec<&TaskReport>> = BTreeMap::new();
        for report in &inventory.tasks {
            reports.entry(report.lease).or_default().push(report);
        }
        for report in &inventory.tasks {
            if let Some(key) = self.by_id.get(&report.task.job) {
                let seen = &mut self.jobs[*key].reported_attempt;
                *seen = (*seen).max(report.task.attempt);
            }
        }
        let is_live = |lease: LeaseId| inventory.leases.iter().any(|info| info.lease == lease);
        let attempt_leases: Vec<(LeaseId, Key)> = self.workers[ix]
            .attempt_leases
            .iter()
            .map(|(lease, key)| (*lease, *key))
            .collect();
        for (lease, key) in attempt_leases {
            let lease_reports = reports.get(&lease).map_or(&[][..], Vec::as_slice);
            self.reconcile_attempt_lease(ix, key, lease, lease_reports, is_live(lease), op, actions);
        }
        for info in inventory.leases.iter().filter(|info| info.kind == LeaseKind::Attempt) {
            if !self.workers[ix].attempt_leases.contains_key(&info.lease) {
                actions.push(Action::Revoke {
                    worker: inventory.worker.clone(),
                    lease: info.lease,
                });
            }
        }
        self.reconcile_grants(ix, &inventory.leases, op, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "inventory data of one attempt lease")]
    fn reconcile_attempt_lease(
        &mut self,
        ix: usize,
        key: Key,
        lease: LeaseId,
        reports: &[&TaskReport],
        is_live: bool,
        op: u64,
        actions: &mut Vec<Action>,
    ) {
        let epoch = self.epoch;
        let Some(run) = self.jobs.get_mut(key).and_then(|job| job.run.as_mut()) else {
            return;
        };
        for report in reports {
            run.apply(report);
        }
        if lease.epoch < epoch {
            // The fence revoked the lease unless a task had started under it, and no further start is accepted.
            let present: Vec<u16> = reports.iter().map(|report| report.task.part).collect();
            run.settle_absent(lease, &present);
        }
        let is_settled = run.is_attempt_lease_settled(lease);
        let Some(attempt_lease) = run.attempt_lease_mut(lease) else {
            return;
        };
        let is_older = attempt_lease.op < op;
        let is_lost = match attempt_lease.state {
            LeaseState::Inherited | LeaseState::Expired if is_live => {
                attempt_lease.state = LeaseState::Granted;
                false
            }
            LeaseState::Inherited | LeaseState::Expired if lease.epoch < epoch => {
                attempt_lease.state = LeaseState::Released;
                false
            }
            // Lease of this epoch: a command may still be in flight, so that only a revocation settles it.
            LeaseState::Inherited | LeaseState::Expired => {
                attempt_lease.state = LeaseState::Granted;
                true
            }
            LeaseState::Requested if is_live && is_older => {
                attempt_lease.state = LeaseState::Granted;
                false
            }
            LeaseState::Granted => is_older && !is_settled && (!is_live || reports.len() < attempt_lease.parts.len()),
            LeaseState::Revoking => {
                actions.push(Action::Revoke {
                    worker: self.workers[ix].id.clone(),
                    lease,
                });
                false
            }
            LeaseState::Requested | LeaseState::Planned | LeaseState::Released => false,
        };
        if is_lost && self.jobs[key].phase != Phase::Reserving {
            self.end_run(key, EndCause::PartEnded, actions);
        } else {
            self.advance(key, actions);
        }
    }
}
