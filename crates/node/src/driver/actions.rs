use std::rc::Rc;
use std::time::Duration;

use actix::{AsyncContext, Context};
use domain::{Action, Commit, MaintenanceReply, StartBoundRow};

use super::starts::start;
use super::{Input, SchedulerDriver, SentWrite};
use crate::clock::boot_ms;
use crate::ports::{Condition, Put, Store, Txn, Workers};
use crate::rows::{
    EPOCH_KEY, HEARTBEAT_KEY, HOLDER_REVISION, HOLDER_REVISION_KEY, HeartbeatRow, JOB_FAILURES, JOBS, LAST_RUNS, LEASE,
    PENDING, PROGRESS, RUNS, RecordsRow, START_BOUND, START_BOUND_KEY, USED_WORKERS, WAVES, WORKER_SPEEDS, cancel_key,
    put, put_speeds, records_key, wave_key,
};

/// Time-out of a command; workers reply within a few round trips of some milliseconds.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(200);

/// Time-out of a renewal beyond the time for which the worker may delay its reply.
const RENEW_MARGIN: Duration = Duration::from_millis(300);

/// Execution of the scheduler's actions.
impl<S: Store, W: Workers> SchedulerDriver<S, W> {
    pub(super) fn execute(&mut self, action: Action, ctx: &mut Context<Self>) {
        let shared = Rc::clone(&self.shared);
        let driver = ctx.address();
        match action {
            Action::Start { worker, command } => {
                let Some(target) = self.target_of(worker) else { return };
                spdlog::info!("start", kv: {
                    task = command.task_run.task.as_str(), run = command.task_run.run, worker = target.worker.as_str(),
                    epoch = target.epoch
                });
                let is_wanted = self.starts.add(&command.task_run);
                let confirmed_ms = Rc::clone(&self.confirmed_ms);
                self.spawn_call(async move {
                    let grace_ms = shared.settings.limits.store_grace_ms;
                    let may_repeat = || is_wanted.get() && boot_ms() <= confirmed_ms.get() + grace_ms;
                    let outcome = start(&shared.workers, &target, &command, may_repeat).await;
                    driver.do_send(Input::Started(worker, command.task_run, outcome));
                });
            }
            Action::Stop { worker, task_run } => {
                self.starts.withdraw(&task_run);
                let Some(target) = self.target_of(worker) else { return };
                spdlog::info!("stop", kv: {
                    task = task_run.task.as_str(), run = task_run.run, worker = target.worker.as_str(),
                    epoch = target.epoch
                });
                self.spawn_call(async move {
                    let is_confirmed = shared.workers.stop(&target, &task_run, COMMAND_TIMEOUT).await;
                    driver.do_send(Input::StopDone(worker, task_run, is_confirmed));
                });
            }
            Action::Renew {
                worker,
                lease_until_ms,
                acked_run_end,
                wait_ms,
            } => {
                let Some(target) = self.target_of(worker) else { return };
                self.spawn_call(async move {
                    let reply = shared
                        .workers
                        .renew(&target, lease_until_ms, acked_run_end, wait_ms, RENEW_MARGIN)
                        .await;
                    driver.do_send(Input::Renewed(worker, reply));
                });
            }
            Action::Throttle {
                worker,
                task_run,
                percent,
            } => {
                let Some(target) = self.target_of(worker) else { return };
                self.spawn_call(async move {
                    let throttle = shared.workers.throttle(&target, &task_run, percent, COMMAND_TIMEOUT);
                    throttle.await;
                    driver.do_send(Input::ThrottleDone(worker));
                });
            }
            Action::FetchPlacementHints { step, workers } => {
                self.spawn_call(async move {
                    let hints = shared.workers.placement_hints(&step, &workers).await;
                    driver.do_send(Input::PlacementHintsReceived(hints));
                });
            }
            Action::ListMachines => {
                self.spawn_call(async move {
                    let machines = shared.workers.machines().await;
                    driver.do_send(Input::Machines(machines));
                });
            }
            Action::StartMaintenance { machine, wave } => {
                let epoch = self.engine.epoch();
                // Machines need not check the epoch as workers do, so only a lease that nobody else can hold permits this.
                if boot_ms() >= self.lease_certain_until_ms() {
                    let refused = MaintenanceReply::Refused;
                    spdlog::warn!("upkeep_held_back", kv: { machine = machine.as_str(), wave, epoch });
                    driver.do_send(Input::MaintenanceReplied(wave, machine, refused));
                    return;
                }
                spdlog::info!("upkeep", kv: { machine = machine.as_str(), wave, epoch });
                self.spawn_call(async move {
                    let instance = shared.settings.instance.clone();
                    let reply = shared.workers.start_maintenance(&machine, wave, &instance, epoch).await;
                    driver.do_send(Input::MaintenanceReplied(wave, machine, reply));
                });
            }
            Action::WriteStartBound { row } => {
                let (txn, sent) = self.start_bound_txn(row);
                self.spawn_call(async move {
                    let result = shared.transact(&txn).await;
                    driver.do_send(Input::StartBoundWritten(row, sent, result));
                });
            }
            Action::Commit(commit) => {
                let (txn, sent) = self.commit_txn(&commit);
                self.spawn_call(async move {
                    let result = shared.transact(&txn).await;
                    driver.do_send(Input::Committed(Box::new(commit), sent, result));
                });
            }
        }
    }

    /// Runs a call whose reply the scheduler waits for.
    pub(super) fn spawn_call(&self, call: impl Future<Output = ()> + 'static) {
        let call = self.shared.supervisor.run_to_completion("scheduler_call", call);
        actix_rt::spawn(call);
    }

    /// Returns the time until which no other instance can have taken the lease over.
    pub(super) fn lease_certain_until_ms(&self) -> u64 {
        self.confirmed_ms.get() + self.shared.settings.lease_certain_ms()
    }

    /// Returns the condition under which a write takes effect in this epoch only.
    pub(super) fn epoch_condition(&self) -> Condition {
        Condition {
            place: self.shared.parts.of_lease_holder(LEASE),
            key: EPOCH_KEY.into(),
            version: self.epoch_row_version,
        }
    }

    /// Builds the transaction of a commit; it takes effect in this epoch only.
    fn commit_txn(&mut self, commit: &Commit) -> (Txn, SentWrite) {
        let parts = self.shared.parts;
        let mut txn = Txn {
            conditions: vec![self.epoch_condition()],
            ..Txn::default()
        };
        for row in &commit.rows {
            let place = parts.of_job(PROGRESS, &row.job);
            txn.conditions.push(Condition {
                place: place.clone(),
                key: row.job.clone(),
                version: row.expected_version,
            });
            txn.puts.push(put(place, row.job.clone(), &row.progress));
            if let Some((number, records)) = &row.records {
                let key = records_key(&row.job, self.engine.epoch(), *number);
                let value = RecordsRow {
                    organisation: row.progress.organisation.clone(),
                    route: row.progress.route.clone(),
                    runs: records.clone(),
                };
                txn.puts.push(put(parts.of_job(RUNS, &row.job), key, &value));
            }
        }
        if commit.has_unversioned_rows() {
            let place = parts.of_lease_holder(HOLDER_REVISION);
            txn.conditions.push(Condition {
                place: place.clone(),
                key: HOLDER_REVISION_KEY.into(),
                version: self.holder_revision,
            });
            txn.puts.push(put(place, HOLDER_REVISION_KEY, &self.engine.epoch()));
        }
        let workers = parts.of_lease_holder(USED_WORKERS);
        for (id, address) in &commit.add_workers {
            txn.puts.push(put(workers.clone(), id.clone(), address));
        }
        for id in &commit.remove_workers {
            txn.removes.push((workers.clone(), id.clone()));
        }
        let last_runs = parts.of_lease_holder(LAST_RUNS);
        for (id, last) in &commit.last_runs {
            txn.puts.push(put(last_runs.clone(), id.clone(), last));
        }
        for id in &commit.remove_last_runs {
            txn.removes.push((last_runs.clone(), id.clone()));
        }
        for id in &commit.remove_jobs {
            let jobs = parts.of_job(JOBS, id);
            txn.removes.push((jobs.clone(), id.clone()));
            txn.removes.push((jobs, cancel_key(id)));
            txn.removes.push((parts.of_job(PROGRESS, id), id.clone()));
            if self.job_failures.contains(id) {
                txn.removes.push((parts.of_lease_holder(JOB_FAILURES), id.clone()));
            }
        }
        for (route, count) in &commit.pending {
            txn.puts.push(put(parts.of_lease_holder(PENDING), route.clone(), count));
        }
        txn.waves.clone_from(&commit.waves);
        for row in &commit.wave_rows {
            txn.puts
                .push(put(parts.of_lease_holder(WAVES), wave_key(row), &row.fact));
        }
        let speeds = commit.speed_rows.iter();
        txn.puts
            .extend(speeds.map(|row| put_speeds(parts.of_lease_holder(WORKER_SPEEDS), row)));
        let sent = self.add_heartbeat(&mut txn);
        (txn, sent)
    }

    /// Builds the transaction that writes the start bound. The version of its row is a condition, so that a write
    /// without a reply cannot take effect after a newer one.
    fn start_bound_txn(&mut self, row: StartBoundRow) -> (Txn, SentWrite) {
        let place = self.shared.parts.of_lease_holder(START_BOUND);
        let own = Condition {
            place: place.clone(),
            key: START_BOUND_KEY.into(),
            version: self.start_bound_row_version,
        };
        let mut txn = Txn {
            conditions: vec![self.epoch_condition(), own],
            puts: vec![put(place, START_BOUND_KEY, &row)],
            ..Txn::default()
        };
        let sent = self.add_heartbeat(&mut txn);
        (txn, sent)
    }

    /// Adds a heartbeat to a write if one is due.
    fn add_heartbeat(&mut self, txn: &mut Txn) -> SentWrite {
        let heartbeat = self.heartbeat_if_due();
        let has_heartbeat = heartbeat.is_some();
        txn.puts.extend(heartbeat);
        SentWrite {
            at_ms: boot_ms(),
            has_heartbeat,
        }
    }

    /// Returns a heartbeat for a write of the scheduler. Such a write renews the lease, so the lease actor sends no
    /// renewal of its own. Every heartbeat wakes all instances, so writes carry one only about as often as the lease is
    /// renewed.
    fn heartbeat_if_due(&mut self) -> Option<Put> {
        let now_ms = boot_ms();
        if now_ms < self.last_heartbeat_ms + self.shared.settings.renew_interval().as_millis() as u64 / 2 {
            return None;
        }
        self.last_heartbeat_ms = now_ms;
        self.last_heartbeat += 1;
        let heartbeat = HeartbeatRow {
            epoch: self.engine.epoch(),
            beat: self.last_heartbeat,
            is_released: false,
            is_settled: now_ms >= self.former_acts_until_ms,
        };
        Some(put(self.shared.parts.of_lease_holder(LEASE), HEARTBEAT_KEY, &heartbeat))
    }
}
