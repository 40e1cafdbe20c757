use std::rc::Rc;
use std::time::Duration;

use actix::{AsyncContext, Context};
use domain::{Action, Commit, Rejection, StartCommand, StartOutcome};

use super::{Holder, Input};
use crate::clock::boot_ms;
use crate::ports::{Condition, Put, Store, Target, Txn, Workers};
use crate::rows::{
    BEAT_KEY, BeatRow, EPOCH_KEY, JOBS, LEASE, PENDING, PROGRESS, RUNS, RecordsRow, START_BOUND, START_BOUND_KEY,
    USED_WORKERS, cancel_key, put, records_key,
};

/// Time for the reply to an order; workers answer in a few round trips of some milliseconds.
const ORDER_LIMIT: Duration = Duration::from_millis(200);

/// Time for the reply to a renewal beyond the time that the worker may wait.
const RENEW_LIMIT: Duration = Duration::from_millis(300);

/// Tries of a start order. Repeating it is safe: a worker that has the run says so, and one that ended it rejects it.
const START_TRIES: u32 = 3;

/// Orders a start until there is a reply.
async fn start<W: Workers>(workers: &W, target: &Target, order: &StartCommand) -> StartOutcome {
    let mut outcome = StartOutcome::Unanswered;
    for attempt in 0..START_TRIES {
        outcome = match workers.start(target, order, ORDER_LIMIT).await {
            // The worker did nothing for this try, but an earlier one may still take effect.
            StartOutcome::Rejected(rejection) if attempt > 0 && !is_certain(rejection) => StartOutcome::Unanswered,
            outcome => outcome,
        };
        if outcome != StartOutcome::Unanswered {
            break;
        }
    }
    outcome
}

/// Returns whether a rejection rules out that an earlier try of the same start takes effect.
const fn is_certain(rejection: Rejection) -> bool {
    matches!(
        rejection,
        Rejection::Fenced | Rejection::Old | Rejection::OtherIncarnation
    )
}

/// Actions of the scheduler, carried out.
impl<S: Store, W: Workers> Holder<S, W> {
    pub(super) fn act(&mut self, action: Action, ctx: &mut Context<Self>) {
        let shared = Rc::clone(&self.shared);
        let holder = ctx.address();
        match action {
            Action::Start { worker, command } => {
                let Some(target) = self.target(worker) else { return };
                spdlog::info!("start", kv: {
                    task = command.what.task.as_str(), run = command.what.run, worker = target.worker.as_str(),
                    epoch = target.epoch
                });
                actix_rt::spawn(async move {
                    let outcome = start(&shared.workers, &target, &command).await;
                    holder.do_send(Input::Started(worker, command.what, outcome));
                });
            }
            Action::Stop { worker, what } => {
                let Some(target) = self.target(worker) else { return };
                spdlog::info!("stop", kv: {
                    task = what.task.as_str(), run = what.run, worker = target.worker.as_str(), epoch = target.epoch
                });
                actix_rt::spawn(async move {
                    let is_confirmed = shared.workers.stop(&target, &what, ORDER_LIMIT).await;
                    holder.do_send(Input::StopDone(what, is_confirmed));
                });
            }
            Action::Renew {
                worker,
                lease_until_ms,
                acked_run_end,
                wait_ms,
            } => {
                let Some(target) = self.target(worker) else { return };
                actix_rt::spawn(async move {
                    let reply = shared
                        .workers
                        .renew(&target, lease_until_ms, acked_run_end, wait_ms, RENEW_LIMIT)
                        .await;
                    holder.do_send(Input::Renewed(worker, reply));
                });
            }
            Action::Throttle { worker, what, percent } => {
                let Some(target) = self.target(worker) else { return };
                actix_rt::spawn(async move {
                    let _ = shared.workers.pace(&target, &what, percent, ORDER_LIMIT).await;
                });
            }
            Action::FetchPlacementHints { step, workers } => {
                actix_rt::spawn(async move {
                    let good = shared.workers.advise(&step, &workers).await;
                    holder.do_send(Input::Advised(good));
                });
            }
            Action::ListMachines => {
                actix_rt::spawn(async move {
                    let machines = shared.workers.machines().await;
                    holder.do_send(Input::Machines(machines));
                });
            }
            Action::StartMaintenance { machine, wave } => {
                let epoch = self.engine.epoch();
                spdlog::info!("upkeep", kv: { machine = machine.as_str(), wave, epoch });
                actix_rt::spawn(async move {
                    let instance = shared.settings.instance.clone();
                    let reply = shared.workers.upkeep(&machine, wave, &instance, epoch).await;
                    holder.do_send(Input::UpkeepDone(wave, machine, reply));
                });
            }
            Action::WriteStartBound { version } => {
                let txn = self.start_bound_txn(version);
                let sent_ms = boot_ms();
                actix_rt::spawn(async move {
                    let result = shared.transact(&txn).await;
                    holder.do_send(Input::StartBoundWritten(version, sent_ms, result));
                });
            }
            Action::Commit(commit) => {
                let txn = self.txn(&commit);
                let sent_ms = boot_ms();
                actix_rt::spawn(async move {
                    let result = shared.transact(&txn).await;
                    holder.do_send(Input::Committed(Box::new(commit), sent_ms, result));
                });
            }
        }
    }

    /// Returns the condition that a write takes effect only in this epoch.
    fn epoch_condition(&self) -> Condition {
        Condition {
            place: self.shared.parts.of_holder(LEASE),
            key: EPOCH_KEY.into(),
            version: self.epoch_row_version,
        }
    }

    /// Builds the write of a commit: it takes effect only in this epoch.
    fn txn(&mut self, commit: &Commit) -> Txn {
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
            let mut row_put = put(place.clone(), row.job.clone(), &row.progress);
            if row_put.value.len() > self.shared.settings.value_bytes_max() {
                spdlog::warn!("checkpoints_left_out", kv: { job = row.job.as_str(), bytes = row_put.value.len() });
                row_put = put(place, row.job.clone(), &row.progress.clone().without_checkpoints());
            }
            txn.puts.push(row_put);
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
        let workers = parts.of_holder(USED_WORKERS);
        for (id, address) in &commit.add_workers {
            txn.puts.push(put(workers.clone(), id.clone(), address));
        }
        for id in &commit.remove_workers {
            txn.removes.push((workers.clone(), id.clone()));
        }
        for id in &commit.remove_jobs {
            let jobs = parts.of_job(JOBS, id);
            txn.removes.push((jobs.clone(), id.clone()));
            txn.removes.push((jobs, cancel_key(id)));
            txn.removes.push((parts.of_job(PROGRESS, id), id.clone()));
        }
        for (route, count) in &commit.pending {
            txn.puts.push(put(parts.of_holder(PENDING), route.clone(), count));
        }
        txn.waves.clone_from(&commit.waves);
        txn.puts.extend(self.beat_if_due());
        txn
    }

    /// Builds the write of a bound of starts. Its own row is a condition, so that a write without a reply cannot take
    /// effect after a newer one.
    fn start_bound_txn(&mut self, version: u64) -> Txn {
        let place = self.shared.parts.of_holder(START_BOUND);
        let own = Condition {
            place: place.clone(),
            key: START_BOUND_KEY.into(),
            version: self.start_bound_row_version,
        };
        let mut puts = vec![put(place, START_BOUND_KEY, &version)];
        puts.extend(self.beat_if_due());
        Txn {
            conditions: vec![self.epoch_condition(), own],
            puts,
            ..Txn::default()
        }
    }

    /// Returns a heartbeat for a write of the holder. Such a write renews the lease, so the keeper writes none; every
    /// beat wakes all instances, so writes carry one only about as often as the lease is renewed.
    fn beat_if_due(&mut self) -> Option<Put> {
        let now_ms = boot_ms();
        if now_ms < self.beat_ms + self.shared.settings.renew_interval().as_millis() as u64 / 2 {
            return None;
        }
        self.beat_ms = now_ms;
        self.beat += 1;
        let beat = BeatRow {
            epoch: self.engine.epoch(),
            beat: self.beat,
            is_released: false,
        };
        Some(put(self.shared.parts.of_holder(LEASE), BEAT_KEY, &beat))
    }
}
