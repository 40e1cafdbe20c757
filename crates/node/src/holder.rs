use std::cell::Cell;
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;
use std::time::Duration;

use actix::prelude::*;
use actix_rt::time::sleep;
use compact_str::CompactString;
use domain::{
    Action, Commit, Engine, Job, Machine, Progress, Rejection, StartOrder, StartOutcome, TaskRun, UpkeepReply,
    WorkerKey, WorkerReport,
};
use timer::Tick;

use crate::clock::{boot_ms, unix_ms};
use crate::lease::{Deposed, LeaseKeeper};
use crate::log;
use crate::ports::{
    Condition, FeedError, OwnRow, Place, RenewError, Store, StoreError, Target, Txn, TxnError, WorkerChange, Workers,
};
use crate::rows::{BEAT_KEY, BeatRow, EPOCH_KEY, JOBS, JobsKey, LEASE, PENDING, PROGRESS, USED_WORKERS, get, put};
use crate::shared::SharedRef;

/// Drives the scheduler while this instance holds the lease.
pub(crate) struct Holder<S: Store, W: Workers> {
    shared: SharedRef<S, W>,
    keeper: Addr<LeaseKeeper<S, W>>,
    engine: Engine,
    epoch_row_version: u64,
    /// When the newest confirmed renewal of the lease was sent.
    confirmed_ms: Rc<Cell<u64>>,
    config_version: u64,
    waves_revision: Option<u64>,
    waves: BTreeSet<u64>,
    /// Heartbeats that went with writes.
    beat: u64,
    beat_ms: u64,
    is_stopped: bool,
}

/// What happens to the holder.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) enum Input {
    /// Workers that former holders used.
    UsedWorkers(Vec<(CompactString, CompactString)>),
    /// Jobs with their progress rows and the versions of these.
    Jobs(Vec<(Job, Progress, u64)>),
    /// Ids of jobs to cancel.
    Cancels(Vec<CompactString>),
    /// Durable counts of waiting jobs by queue.
    Pending(Vec<(CompactString, u64)>),
    /// All rows were read.
    Loaded,
    /// Whole list of workers.
    WorkerList(Vec<WorkerChange>),
    /// Changes of the list of workers.
    WorkerChanges(Vec<WorkerChange>),
    /// Reply to a start.
    Started(WorkerKey, TaskRun, StartOutcome),
    /// Reply to a stop.
    StopDone(TaskRun, bool),
    /// Reply to a renewal.
    Renewed(WorkerKey, Result<WorkerReport, RenewError>),
    /// Reply to a call for advice.
    Advised(Option<Vec<(CompactString, CompactString)>>),
    /// List of machines.
    Machines(Option<Vec<Machine>>),
    /// Reply to an upkeep order.
    UpkeepDone(u64, CompactString, UpkeepReply),
    /// Reply to a write.
    Committed(Box<Commit>, u64, Result<u64, TxnError>),
    /// Another instance holds the lease, or this one stops.
    Stop,
}

impl<S: Store, W: Workers> Holder<S, W> {
    /// Interval of the scheduler's clock.
    pub const TICK: Duration = Duration::from_millis(25);

    pub fn new(
        shared: SharedRef<S, W>,
        keeper: Addr<LeaseKeeper<S, W>>,
        epoch: u64,
        epoch_row_version: u64,
        confirmed_ms: Rc<Cell<u64>>,
    ) -> Self {
        let engine = Engine::new(epoch, shared.settings.limits, boot_ms());
        Self {
            shared,
            keeper,
            engine,
            epoch_row_version,
            confirmed_ms,
            config_version: 0,
            waves_revision: None,
            waves: BTreeSet::new(),
            beat: 0,
            beat_ms: 0,
            is_stopped: false,
        }
    }

    /// Lets the scheduler act on what changed.
    fn pump(&mut self, ctx: &mut Context<Self>) {
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
            self.engine.set_out_of_service(view.out_of_service.clone());
            if self.waves_revision != Some(view.waves_revision) {
                self.waves_revision = Some(view.waves_revision);
                for number in self.waves.iter().filter(|number| !view.waves.contains_key(number)) {
                    self.engine.set_wave(*number, None, now_ms);
                }
                for (number, wave) in &view.waves {
                    self.engine.set_wave(*number, Some(wave.clone()), now_ms);
                }
                self.waves = view.waves.keys().copied().collect();
            }
        }
        let may_start = now_ms <= self.confirmed_ms.get() + self.shared.settings.limits.holdover_ms;
        self.engine.tick(now_ms, unix_ms(), may_start);
        log::notes(self.engine.epoch(), self.engine.take_notes());
        for action in self.engine.take_actions() {
            self.act(action, ctx);
        }
        if self.engine.is_fenced_off() {
            self.is_stopped = true;
            self.keeper.do_send(Deposed {
                epoch: self.engine.epoch(),
                cause: "fenced_by_worker",
            });
        }
    }

    fn target(&self, worker: WorkerKey) -> Option<Target> {
        let (address, id) = self.engine.worker_target(worker)?;
        Some(Target {
            address,
            worker: id,
            epoch: self.engine.epoch(),
        })
    }

    fn act(&mut self, action: Action, ctx: &mut Context<Self>) {
        let shared = Rc::clone(&self.shared);
        let holder = ctx.address();
        match action {
            Action::Start { worker, order } => {
                let Some(target) = self.target(worker) else { return };
                spdlog::info!("start", kv: {
                    task = order.what.task.as_str(), run = order.what.run, worker = target.worker.as_str(),
                    epoch = target.epoch
                });
                actix_rt::spawn(async move {
                    let outcome = start(&shared.workers, &target, &order).await;
                    holder.do_send(Input::Started(worker, order.what, outcome));
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
                noted,
                wait_ms,
            } => {
                let Some(target) = self.target(worker) else { return };
                actix_rt::spawn(async move {
                    let reply = shared
                        .workers
                        .renew(&target, lease_until_ms, noted, wait_ms, RENEW_LIMIT)
                        .await;
                    holder.do_send(Input::Renewed(worker, reply));
                });
            }
            Action::Pace { worker, what, percent } => {
                let Some(target) = self.target(worker) else { return };
                actix_rt::spawn(async move {
                    let _ = shared.workers.pace(&target, &what, percent, ORDER_LIMIT).await;
                });
            }
            Action::Advise { step, workers } => {
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
            Action::Upkeep { machine, wave } => {
                let epoch = self.engine.epoch();
                spdlog::info!("upkeep", kv: { machine = machine.as_str(), wave, epoch });
                actix_rt::spawn(async move {
                    let instance = shared.settings.instance.clone();
                    let reply = shared.workers.upkeep(&machine, wave, &instance, epoch).await;
                    holder.do_send(Input::UpkeepDone(wave, machine, reply));
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

    /// Builds the write of a commit: it takes effect only in this epoch.
    fn txn(&mut self, commit: &Commit) -> Txn {
        let parts = self.shared.parts;
        let mut txn = Txn {
            conditions: vec![Condition {
                place: parts.of_holder(LEASE),
                key: EPOCH_KEY.into(),
                version: self.epoch_row_version,
            }],
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
        }
        let workers = parts.of_holder(USED_WORKERS);
        for (id, address) in &commit.add_workers {
            txn.puts.push(put(workers.clone(), id.clone(), address));
        }
        for id in &commit.remove_workers {
            txn.removes.push((workers.clone(), id.clone()));
        }
        for (route, count) in &commit.pending {
            txn.puts.push(put(parts.of_holder(PENDING), route.clone(), count));
        }
        txn.waves.clone_from(&commit.waves);
        // Every beat wakes all instances, so writes carry one only about as often as the lease is renewed.
        let now_ms = boot_ms();
        if now_ms >= self.beat_ms + self.shared.settings.renew_interval().as_millis() as u64 / 2 {
            self.beat_ms = now_ms;
            self.beat += 1;
            let beat = BeatRow {
                epoch: self.engine.epoch(),
                beat: self.beat,
                is_released: false,
            };
            txn.puts.push(put(parts.of_holder(LEASE), BEAT_KEY, &beat));
        }
        txn
    }

    fn committed(&mut self, commit: &Commit, sent_ms: u64, result: Result<u64, TxnError>) {
        let now_ms = boot_ms();
        match result {
            Ok(version) => {
                self.confirmed_ms.set(self.confirmed_ms.get().max(sent_ms));
                self.engine.committed(commit, version, now_ms);
            }
            Err(TxnError::Conflict(conflict)) => {
                let epoch_row = conflict.iter().find(|row| row.table == LEASE && row.key == EPOCH_KEY);
                if epoch_row.is_none_or(|row| row.version != self.epoch_row_version) {
                    self.is_stopped = true;
                    self.keeper.do_send(Deposed {
                        epoch: self.engine.epoch(),
                        cause: "write_rejected",
                    });
                    return;
                }
                let current: Vec<_> = conflict
                    .iter()
                    .filter(|row| row.table == PROGRESS)
                    .map(|row| (row.key.clone(), row.version))
                    .collect();
                spdlog::warn!("commit_conflict", kv: { rows = current.len() });
                self.engine.commit_failed(&current, now_ms);
            }
            Err(error) => {
                spdlog::warn!("commit_failed", kv: { rows = commit.rows.len(), cause = error.to_string() });
                self.engine.commit_failed(&[], now_ms);
            }
        }
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

    fn publish_stats(&self) {
        let stats = self.engine.stats();
        let set = |name: &str, value: u64| {
            self.shared
                .metrics
                .scheduler
                .with_label_values(&[name])
                .set(value as i64);
        };
        set("starts", stats.starts);
        set("rejected_starts", stats.rejected_starts);
        set("unanswered_starts", stats.unanswered_starts);
        set("stops", stats.stops);
        set("done", stats.done);
        set("failed", stats.failed);
        set("broken", stats.broken);
        set("preempted", stats.preempted);
        set("wasted_core_ms", stats.wasted_core_ms);
        set("running", stats.running);
        set("workers", stats.workers);
        set("open_jobs", stats.open_jobs);
    }
}

impl<S: Store, W: Workers> Actor for Holder<S, W> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(4_096);
        let holder = ctx.address();
        let shared = Rc::clone(&self.shared);
        actix_rt::spawn(load(shared, holder));
    }
}

impl<S: Store, W: Workers> Handler<Tick> for Holder<S, W> {
    type Result = ();

    fn handle(&mut self, _tick: Tick, ctx: &mut Self::Context) {
        self.pump(ctx);
        self.publish_stats();
    }
}

impl<S: Store, W: Workers> Handler<Input> for Holder<S, W> {
    type Result = ();

    fn handle(&mut self, input: Input, ctx: &mut Self::Context) {
        let now_ms = boot_ms();
        match input {
            Input::UsedWorkers(workers) => {
                for (id, address) in workers {
                    self.engine.add_recorded_worker(&id, &address, now_ms);
                }
            }
            Input::Jobs(jobs) => {
                for (job, progress, version) in jobs {
                    self.engine.add_job(job, progress, version, now_ms, unix_ms());
                }
            }
            Input::Cancels(ids) => {
                for id in ids {
                    self.engine.cancel(&id, now_ms);
                }
            }
            Input::Pending(counts) => {
                for (route, count) in counts {
                    self.engine.set_written_pending(&route, count);
                }
            }
            Input::Loaded => self.engine.set_loaded(),
            Input::WorkerList(list) => self.worker_list(list, now_ms),
            Input::WorkerChanges(changes) => {
                for change in changes {
                    self.worker_change(change, now_ms);
                }
            }
            Input::Started(worker, what, outcome) => self.engine.start_replied(worker, &what, outcome, now_ms),
            Input::StopDone(what, is_confirmed) => self.engine.stop_replied(&what, is_confirmed, now_ms),
            Input::Renewed(worker, Ok(report)) => self.engine.renewed(worker, &report, now_ms),
            Input::Renewed(worker, Err(RenewError::Fenced)) => self.engine.renew_fenced(worker),
            Input::Renewed(worker, Err(RenewError::OtherIncarnation)) => {
                self.engine.renew_other_incarnation(worker, now_ms);
            }
            Input::Renewed(worker, Err(RenewError::NoReply)) => self.engine.renew_failed(worker, now_ms),
            Input::Advised(good) => self.engine.advised(good.as_deref(), now_ms),
            Input::Machines(machines) => self.engine.set_machines(machines, now_ms),
            Input::UpkeepDone(wave, machine, reply) => self.engine.upkeep_replied(wave, &machine, reply, now_ms),
            Input::Committed(commit, sent_ms, result) => self.committed(&commit, sent_ms, result),
            Input::Stop => {
                self.is_stopped = true;
                ctx.stop();
                return;
            }
        }
        self.pump(ctx);
    }
}

/// Time for the reply to an order; workers answer in a few round trips of some milliseconds.
const ORDER_LIMIT: Duration = Duration::from_millis(200);

/// Time for the reply to a renewal beyond the time that the worker may wait.
const RENEW_LIMIT: Duration = Duration::from_millis(300);

/// Tries of a start order. Repeating it is safe: a worker that has the run says so, and one that ended it rejects it.
const START_TRIES: u32 = 3;

/// Orders a start until there is a reply.
async fn start<W: Workers>(workers: &W, target: &Target, order: &StartOrder) -> StartOutcome {
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

/// Pause before a read of the store is repeated.
const RETRY: Duration = Duration::from_millis(60);

/// Reads all rows of a part; returns them with the version after which changes have to be read.
async fn read_part<S: Store, W: Workers>(
    shared: &SharedRef<S, W>,
    place: &Place,
) -> Result<(Vec<OwnRow>, u64), StoreError> {
    let mut rows: Vec<OwnRow> = Vec::new();
    let mut first_version = None;
    let mut from = String::new();
    loop {
        let page = shared.read(place, &from, "").await?;
        first_version.get_or_insert(page.version);
        let has_more = page.has_more && !page.items.is_empty();
        rows.extend(page.items);
        match rows.last() {
            Some(last) if has_more => from = format!("{}!", last.key),
            _ => return Ok((rows, first_version.unwrap_or(0))),
        }
    }
}

/// Repeats a read of all places until it succeeds or the holder is gone.
async fn until_read<S: Store, W: Workers>(
    shared: &SharedRef<S, W>,
    holder: &Addr<Holder<S, W>>,
    places: &[Place],
) -> Option<(Vec<OwnRow>, u64)> {
    while holder.connected() {
        let reads = places.iter().map(|place| read_part(shared, place));
        match futures_util::future::try_join_all(reads).await {
            Ok(parts) => {
                let version = parts.iter().map(|(_, version)| *version).min().unwrap_or(0);
                return Some((parts.into_iter().flat_map(|(rows, _)| rows).collect(), version));
            }
            Err(_) => sleep(RETRY).await,
        }
    }
    None
}

/// Reads the rows that a new holder needs, then follows their changes.
async fn load<S: Store, W: Workers>(shared: SharedRef<S, W>, holder: Addr<Holder<S, W>>) {
    let Some((used, _)) = until_read(&shared, &holder, &[shared.parts.of_holder(USED_WORKERS)]).await else {
        return;
    };
    let used = used
        .iter()
        .filter_map(|row| Some((row.key.clone(), get::<CompactString>(row)?)))
        .collect();
    holder.do_send(Input::UsedWorkers(used));
    actix_rt::spawn(follow_workers(Rc::clone(&shared), holder.clone()));
    let place = shared.parts.of_holder(PENDING);
    let Some((pending, _)) = until_read(&shared, &holder, &[place]).await else {
        return;
    };
    let pending = pending
        .iter()
        .filter_map(|row| Some((row.key.clone(), get::<u64>(row)?)))
        .collect();
    holder.do_send(Input::Pending(pending));
    let Some(after) = load_jobs(&shared, &holder).await else {
        return;
    };
    holder.do_send(Input::Loaded);
    follow_jobs(shared, holder, after).await;
}

/// Reads jobs and progress; returns the version after which changes have to be read.
async fn load_jobs<S: Store, W: Workers>(shared: &SharedRef<S, W>, holder: &Addr<Holder<S, W>>) -> Option<u64> {
    let (rows, after) = until_read(shared, holder, &shared.parts.of_jobs(JOBS)).await?;
    let (progress, _) = until_read(shared, holder, &shared.parts.of_jobs(PROGRESS)).await?;
    let progress: std::collections::HashMap<_, _> = progress.iter().map(|row| (row.key.clone(), row)).collect();
    let mut jobs = Vec::new();
    let mut cancels = Vec::new();
    for row in &rows {
        match JobsKey::parse(&row.key) {
            JobsKey::Cancel(id) => cancels.push(id),
            JobsKey::Job(id) => {
                let Some(row_of_progress) = progress.get(&id) else {
                    continue;
                };
                let (Some(job), Some(state)) = (get::<Job>(row), get::<Progress>(row_of_progress)) else {
                    continue;
                };
                jobs.push((job, state, row_of_progress.version));
            }
        }
    }
    spdlog::info!("rows_loaded", kv: { jobs = jobs.len(), cancels = cancels.len(), version = after });
    holder.do_send(Input::Jobs(jobs));
    holder.do_send(Input::Cancels(cancels));
    Some(after)
}

/// Passes new jobs and cancellations to the holder.
async fn follow_jobs<S: Store, W: Workers>(shared: SharedRef<S, W>, holder: Addr<Holder<S, W>>, mut after: u64) {
    const WAIT_MS: u64 = 2_000;
    // Jobs that arrive within this time share one call.
    const GATHER: Duration = Duration::from_millis(15);
    while holder.connected() {
        let changes = shared.store.changes(JOBS, after, WAIT_MS);
        match shared.feed(WAIT_MS, changes).await {
            Ok(page) => {
                after = page.version;
                if page.items.is_empty() {
                    continue;
                }
                let mut jobs = Vec::new();
                let mut cancels = Vec::new();
                for row in &page.items {
                    match JobsKey::parse(&row.key) {
                        JobsKey::Cancel(id) => cancels.push(id),
                        JobsKey::Job(_) => {
                            // The progress row was inserted in the same transaction, so it has the same version.
                            if let Some(job) = get::<Job>(row) {
                                let progress = Progress {
                                    route: job.route.clone(),
                                    organisation: job.organisation.clone(),
                                    ..Progress::default()
                                };
                                jobs.push((job, progress, row.version));
                            }
                        }
                    }
                }
                holder.do_send(Input::Jobs(jobs));
                holder.do_send(Input::Cancels(cancels));
                sleep(GATHER).await;
            }
            Err(FeedError::HistoryLost) => {
                spdlog::warn!("history_lost", kv: { table = JOBS, after });
                if let Some(version) = load_jobs(&shared, &holder).await {
                    after = version;
                }
            }
            Err(FeedError::Store(_)) => sleep(RETRY).await,
        }
    }
}

/// Passes changes of the list of workers to the holder.
async fn follow_workers<S: Store, W: Workers>(shared: SharedRef<S, W>, holder: Addr<Holder<S, W>>) {
    const WAIT_MS: u64 = 1_000;
    // Every worker writes its entry regularly; changes within this time share one call.
    const GATHER: Duration = Duration::from_millis(250);
    let mut after = None;
    while holder.connected() {
        let result = match after {
            None => {
                let list = async { shared.store.worker_list().await.map_err(FeedError::Store) };
                shared.feed(0, list).await
            }
            Some(after) => shared.feed(WAIT_MS, shared.store.worker_changes(after, WAIT_MS)).await,
        };
        match result {
            Ok(page) => {
                holder.do_send(if after.is_none() {
                    Input::WorkerList(page.items)
                } else {
                    Input::WorkerChanges(page.items)
                });
                after = Some(page.version);
                sleep(GATHER).await;
            }
            Err(FeedError::HistoryLost) => {
                spdlog::warn!("history_lost", kv: { table = "worker list" });
                after = None;
            }
            Err(FeedError::Store(_)) => sleep(RETRY).await,
        }
    }
}
