//! Drives the scheduler: feeds it rows, reports and time, and carries out its commands and writes.

mod actions;
mod failure;
mod feeds;
mod handle_input;
mod input;
mod job_failures;
mod starts;
mod stats;

use std::cell::Cell;
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use compact_str::CompactString;
use domain::{Commit, Engine, Explanation, StartBoundRow, WorkerKey};
pub(crate) use input::Input;
use input::SentWrite;
use job_failures::JobFailures;
use starts::StartsInFlight;
use timer::Tick;

use crate::clock::{boot_ms, unix_ms};
use crate::diagnostics::Explain;
use crate::lease::{Deposed, LeaseActor};
use crate::log;
use crate::ports::{OwnRow, Store, Target, TxnError, WorkerChange, Workers};
use crate::rows::{EPOCH_KEY, HOLDER_REVISION, LEASE, PROGRESS, START_BOUND};
use crate::shared::SharedRef;

/// Drives the scheduler while this instance holds the lease.
pub(crate) struct SchedulerDriver<S: Store, W: Workers> {
    shared: SharedRef<S, W>,
    lease_actor: Addr<LeaseActor<S, W>>,
    engine: Engine,
    epoch_row_version: u64,
    /// Version of the start bound's row; 0 if there is none.
    start_bound_row_version: u64,
    /// Version of the row with the revision of rows without versions; 0 if there is none.
    holder_revision: u64,
    /// Send time of the newest confirmed renewal of the lease.
    confirmed_ms: Rc<Cell<u64>>,
    /// Time by which all former holders have stopped acting.
    former_acts_until_ms: u64,
    config_version: u64,
    waves_revision: Option<u64>,
    waves: BTreeSet<u64>,
    /// Starts without a reply.
    starts: StartsInFlight,
    /// Number of the last heartbeat that was part of a write.
    last_heartbeat: u64,
    last_heartbeat_ms: u64,
    /// When channels to removed workers were last closed.
    channels_closed_ms: u64,
    /// An [`Advance`] is queued behind the messages that wait.
    is_advance_queued: bool,
    is_stopped: bool,
    /// A step of this scheduler has panicked; no further one runs.
    has_failed: bool,
    /// Job that is being added to the scheduler.
    loading_job: Option<CompactString>,
    job_failures: JobFailures,
    /// Jobs given up in this epoch.
    given_up_jobs: u64,
}

/// Runs the scheduler once for all messages handled since the last time.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Advance;

impl<S: Store, W: Workers> SchedulerDriver<S, W> {
    /// Interval at which the scheduler runs without other input.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(25);

    pub fn new(
        shared: SharedRef<S, W>,
        lease_actor: Addr<LeaseActor<S, W>>,
        (epoch, epoch_row_version): (u64, u64),
        confirmed_ms: Rc<Cell<u64>>,
        former_acts_until_ms: u64,
    ) -> Self {
        let mut engine = Engine::new(epoch, shared.settings.limits, boot_ms());
        engine.set_former_acts_until(former_acts_until_ms);
        Self {
            shared,
            lease_actor,
            engine,
            epoch_row_version,
            start_bound_row_version: 0,
            holder_revision: 0,
            confirmed_ms,
            former_acts_until_ms,
            config_version: 0,
            waves_revision: None,
            waves: BTreeSet::new(),
            starts: StartsInFlight::default(),
            last_heartbeat: 0,
            last_heartbeat_ms: 0,
            channels_closed_ms: boot_ms(),
            is_advance_queued: false,
            is_stopped: false,
            has_failed: false,
            loading_job: None,
            job_failures: JobFailures::default(),
            given_up_jobs: 0,
        }
    }

    /// Passes changed configuration to the scheduler, runs it and carries out its actions.
    fn advance(&mut self, ctx: &mut Context<Self>) {
        if self.is_stopped {
            return;
        }
        let now_ms = boot_ms();
        {
            let view = self.shared.view.borrow();
            if let Some(config) = &view.config
                && config.version != self.config_version
            {
                self.config_version = config.version;
                self.engine.set_config(config.as_ref().clone());
            }
            if *self.engine.out_of_service() != view.out_of_service {
                self.engine.set_out_of_service(view.out_of_service.clone());
            }
            if self.waves_revision != Some(view.waves_revision) {
                self.waves_revision = Some(view.waves_revision);
                for number in self.waves.iter().filter(|number| !view.waves.contains_key(number)) {
                    self.engine.set_wave(*number, None, now_ms, unix_ms());
                }
                for (number, wave) in &view.waves {
                    self.engine.set_wave(*number, Some(wave.clone()), now_ms, unix_ms());
                }
                self.waves = view.waves.keys().copied().collect();
            }
        }
        self.engine.set_lease_certain_until(self.lease_certain_until_ms());
        let may_start = now_ms <= self.confirmed_ms.get() + self.shared.settings.limits.store_grace_ms;
        self.engine.tick(now_ms, unix_ms(), may_start);
        log::write_lines(self.engine.epoch(), self.engine.take_log_lines());
        for action in self.engine.take_actions() {
            self.execute(action, ctx);
        }
        if self.engine.is_epoch_rejected() {
            self.stop_acting();
            self.lease_actor.do_send(Deposed {
                epoch: self.engine.epoch(),
                cause: "fenced_by_worker",
            });
        }
    }

    /// Ends all commands and writes of this scheduler.
    fn stop_acting(&mut self) {
        self.is_stopped = true;
        self.starts.withdraw_all();
    }

    fn target_of(&self, worker: WorkerKey) -> Option<Target> {
        let (address, id) = self.engine.worker_target(worker)?;
        Some(Target {
            address,
            worker: id,
            process_started_unix_ms: self.engine.process_started_unix_ms(worker),
            epoch: self.engine.epoch(),
        })
    }

    fn committed(&mut self, commit: &Commit, sent: SentWrite, result: Result<u64, TxnError>) {
        let now_ms = boot_ms();
        match result {
            Ok(version) => {
                self.confirm(sent);
                if commit.has_unversioned_rows() {
                    self.holder_revision = version;
                }
                self.engine.committed(commit, version, now_ms);
            }
            Err(TxnError::Conflict(conflict)) => {
                if self.is_deposed_by(&conflict) {
                    return;
                }
                if commit.has_unversioned_rows() {
                    // An earlier write may have taken effect although its reply was lost.
                    let own = conflict.iter().find(|row| row.table == HOLDER_REVISION);
                    self.holder_revision = own.map_or(0, |row| row.version);
                }
                let current: Vec<_> = conflict
                    .iter()
                    .filter(|row| row.table == PROGRESS)
                    .map(|row| (row.key.clone(), row.version))
                    .collect();
                spdlog::warn!("commit_conflict", kv: { rows = current.len() });
                self.engine.commit_failed(commit, &current, now_ms);
            }
            Err(error) => {
                spdlog::warn!("commit_failed", kv: { rows = commit.rows.len(), cause = error.to_string() });
                self.engine.commit_failed(commit, &[], now_ms);
            }
        }
    }

    /// Takes note of a write that took effect. Only one with a heartbeat renews the lease: a successor counts from the last
    /// heartbeat that it saw.
    fn confirm(&self, sent: SentWrite) {
        if sent.has_heartbeat {
            self.confirmed_ms.set(self.confirmed_ms.get().max(sent.at_ms));
        }
    }

    /// Returns whether a rejected write shows a newer epoch, in which case the driver stops.
    fn is_deposed_by(&mut self, conflict: &[OwnRow]) -> bool {
        let epoch_row = conflict.iter().find(|row| row.table == LEASE && row.key == EPOCH_KEY);
        if epoch_row.is_some_and(|row| row.version == self.epoch_row_version) {
            return false;
        }
        self.stop_acting();
        self.lease_actor.do_send(Deposed {
            epoch: self.engine.epoch(),
            cause: "write_rejected",
        });
        true
    }

    fn start_bound_written(&mut self, row: StartBoundRow, sent: SentWrite, result: &Result<u64, TxnError>) {
        match result {
            Ok(row_version) => {
                self.confirm(sent);
                self.start_bound_row_version = *row_version;
            }
            Err(TxnError::Conflict(conflict)) => {
                if self.is_deposed_by(conflict) {
                    return;
                }
                // An earlier write took effect although its reply was lost.
                let own = conflict.iter().find(|row| row.table == START_BOUND);
                self.start_bound_row_version = own.map_or(0, |row| row.version);
            }
            Err(error) => spdlog::warn!("start_bound_failed", kv: { version = row.version, cause = error.to_string() }),
        }
        self.engine.start_bound_written(row, result.is_ok(), boot_ms());
    }

    fn worker_change(&mut self, change: WorkerChange, now_ms: u64) {
        match change {
            WorkerChange::Listed(entry) => self.engine.set_worker(*entry, now_ms),
            WorkerChange::Unlisted(id) => self.engine.unlist_worker(&id, now_ms),
        }
    }

    fn worker_list(&mut self, list: Vec<WorkerChange>, now_ms: u64) {
        let listed: HashSet<CompactString> = list
            .iter()
            .filter_map(|change| match change {
                WorkerChange::Listed(entry) => Some(entry.id.clone()),
                WorkerChange::Unlisted(_) => None,
            })
            .collect();
        for id in self.engine.listed_workers() {
            if !listed.contains(&id) {
                self.engine.unlist_worker(&id, now_ms);
            }
        }
        for change in list {
            self.worker_change(change, now_ms);
        }
    }

    /// Closes channels to removed workers.
    fn close_unused_channels(&mut self) {
        const INTERVAL_MS: u64 = 10_000;
        let now_ms = boot_ms();
        if now_ms > self.channels_closed_ms + INTERVAL_MS {
            self.channels_closed_ms = now_ms;
            self.shared.workers.retain(&self.engine.worker_addresses());
        }
    }
}

impl<S: Store, W: Workers> Actor for SchedulerDriver<S, W> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(4_096);
        let driver = ctx.address();
        let shared = Rc::clone(&self.shared);
        shared.explainer.replace(Some(driver.clone().recipient()));
        let supervisor = shared.supervisor.clone();
        actix_rt::spawn(supervisor.run_to_completion("job_feed", feeds::load(shared, driver)));
    }

    fn stopped(&mut self, ctx: &mut Self::Context) {
        let own = ctx.address().recipient();
        let mut explainer = self.shared.explainer.borrow_mut();
        if explainer.as_ref() == Some(&own) {
            *explainer = None;
        }
    }
}

impl<S: Store, W: Workers> Handler<Tick> for SchedulerDriver<S, W> {
    type Result = ();

    fn handle(&mut self, _tick: Tick, ctx: &mut Self::Context) {
        self.shared.supervisor.check("scheduler");
        self.run_step(ctx, |driver, ctx| {
            driver.advance(ctx);
            driver.publish_stats();
            driver.close_unused_channels();
        });
    }
}

impl<S: Store, W: Workers> Handler<Explain> for SchedulerDriver<S, W> {
    type Result = Option<Explanation>;

    fn handle(&mut self, Explain(job): Explain, _ctx: &mut Self::Context) -> Self::Result {
        self.engine.explain(&job, boot_ms())
    }
}

impl<S: Store, W: Workers> Handler<Advance> for SchedulerDriver<S, W> {
    type Result = ();

    fn handle(&mut self, _advance: Advance, ctx: &mut Self::Context) {
        self.is_advance_queued = false;
        self.run_step(ctx, Self::advance);
    }
}
