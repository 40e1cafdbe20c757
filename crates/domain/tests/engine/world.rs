//! Fake workers and a fake store around an engine, with a clock of its own, and checks of what must always hold.

mod fake_worker;

use std::collections::BTreeMap;

use compact_str::CompactString;
use domain::{
    Action, Commit, Config, EndKind, Engine, EntryState, Job, JobState, Limits, Machine, MachineState, Organisation,
    Progress, Rejection, Resources, Route, RunRecord, StartOutcome, Step, StoredJob, TaskName, UpkeepReply,
    WaveProgress, WorkerEntry, WorkerKey,
};
pub use fake_worker::FakeWorker;

/// What the store holds of a job.
#[derive(Debug, Clone)]
pub struct Stored {
    pub job: Job,
    pub progress: Progress,
    pub inserted_version: u64,
    pub version: u64,
    pub is_cancelled: bool,
}

impl Stored {
    fn loaded(&self) -> StoredJob {
        StoredJob {
            job: self.job.clone(),
            progress: self.progress.clone(),
            inserted_version: self.inserted_version,
            progress_version: self.version,
        }
    }
}

#[derive(Debug)]
struct Renewal {
    worker: WorkerKey,
    id: CompactString,
    noted: u64,
    answer_by_ms: u64,
}

/// Order that takes effect later.
#[derive(Debug)]
struct LateOrder {
    at_ms: u64,
    id: CompactString,
    epoch: u64,
    /// The process that keeps the order back; the order dies with it.
    born_unix_ms: u64,
    order: domain::StartOrder,
}

pub struct World {
    pub engine: Engine,
    pub now_ms: u64,
    pub workers: BTreeMap<CompactString, FakeWorker>,
    pub store: BTreeMap<CompactString, Stored>,
    pub used_workers: BTreeMap<CompactString, CompactString>,
    pub start_bound: Option<u64>,
    /// Durable records of runs by job, epoch and number of the row.
    pub records: BTreeMap<(CompactString, u64, u32), Vec<RunRecord>>,
    /// The store takes no writes.
    pub is_store_down: bool,
    /// The next start orders get no reply and take effect after this time.
    pub late_start_ms: Option<u64>,
    /// The next start orders get no reply and never arrive.
    pub lose_starts: u32,
    /// Replies to the next commits are lost after they took effect.
    pub lose_commits: u32,
    /// Workers that the placement service permits; empty permits all.
    pub permitted: Vec<CompactString>,
    pub advice_calls: Vec<(CompactString, usize)>,
    /// Most machines that were down for upkeep at once.
    pub most_down: usize,
    /// Runs that ended by an upkeep.
    pub interrupted: usize,
    pub waves: BTreeMap<u64, WaveProgress>,
    /// Reports show the workers as they were before the last orders arrived.
    pub has_old_reports: bool,
    former: BTreeMap<CompactString, FakeWorker>,
    pub violations: Vec<String>,
    pub notes: Vec<String>,
    pub starts: Vec<(u64, CompactString, CompactString)>,
    version: u64,
    epoch: u64,
    renewals: Vec<Renewal>,
    late: Vec<LateOrder>,
}

pub const GIB: u64 = 1_024;

/// Returns a job of one step.
pub fn job(id: &str, priority: u32, step: Step) -> Job {
    Job {
        id: format!("{id:0>16}").into(),
        route: format!("route-{priority}").into(),
        service: "valuation".into(),
        organisation: "clyde-koi".into(),
        priority,
        attempts: 3,
        objective_factor: 3.0,
        objective_ms: 1_000,
        spec: "payload".into(),
        steps: vec![step],
        times: 0,
        first_run_unix_ms: 0,
        interval_ms: 0,
        accept_epoch: 0,
        accepted_unix_ms: 0,
    }
}

/// Returns a step of equal tasks.
pub fn step(count: u32, accelerators: u64, estimate_ms: u64) -> Step {
    Step {
        count,
        need: Resources {
            cpu_milli: 1_000 * accelerators,
            memory_mib: 4 * GIB,
            accelerators,
        },
        estimate_ms,
        ..Step::default()
    }
}

impl World {
    pub const STEP_MS: u64 = 10;

    /// Starts with racks of workers with eight accelerators each.
    pub fn new(racks: u32, workers_per_rack: u32) -> Self {
        let mut workers = BTreeMap::new();
        for rack in 0..racks {
            for number in 0..workers_per_rack {
                let id: CompactString = format!("w{rack}-{number}").into();
                workers.insert(id.clone(), FakeWorker::new(id, format!("r{rack}").into()));
            }
        }
        let mut world = Self {
            engine: Engine::new(1, Limits::default(), 0),
            now_ms: 1_000,
            workers,
            store: BTreeMap::new(),
            used_workers: BTreeMap::new(),
            start_bound: None,
            records: BTreeMap::new(),
            is_store_down: false,
            late_start_ms: None,
            lose_starts: 0,
            lose_commits: 0,
            permitted: Vec::new(),
            advice_calls: Vec::new(),
            most_down: 0,
            interrupted: 0,
            waves: BTreeMap::new(),
            has_old_reports: false,
            former: BTreeMap::new(),
            violations: Vec::new(),
            notes: Vec::new(),
            starts: Vec::new(),
            version: 1,
            epoch: 0,
            renewals: Vec::new(),
            late: Vec::new(),
        };
        world.take_over();
        world.run_for(200);
        world
    }

    /// Replaces the engine by that of the next epoch, which knows nothing but the store and the workers.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.version += 1;
        self.renewals.clear();
        self.engine = Engine::new(self.epoch, Limits::default(), self.now_ms);
        self.engine.set_config(Config {
            organisations: vec![Organisation {
                name: "clyde-koi".into(),
                guaranteed_accelerators: 64,
                ..Organisation::default()
            }],
            routes: vec![Route {
                name: "route-advised".into(),
                advice_validity_ms: Some(3_000),
                ..Route::default()
            }],
            ..Config::default()
        });
        for (id, address) in &self.used_workers {
            self.engine.add_recorded_worker(id, address, self.now_ms);
        }
        self.engine.set_former_start_bound(self.start_bound);
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            self.engine.set_worker(worker.entry(), self.now_ms);
        }
        // Workers may answer before the rows are read.
        self.tick();
        self.answer_renewals();
        for stored in self.store.values() {
            self.engine.add_job(stored.loaded(), self.now_ms, self.now_ms);
            if stored.is_cancelled {
                self.engine.cancel(&stored.job.id, self.now_ms);
            }
        }
        self.engine.set_loaded();
    }

    /// Shows the engine the entries of all listed workers as they are.
    pub fn refresh_entries(&mut self) {
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            self.engine.set_worker(worker.entry(), self.now_ms);
        }
    }

    pub fn submit(&mut self, mut job: Job) -> CompactString {
        self.version += 1;
        job.accept_epoch = self.epoch;
        job.accepted_unix_ms = self.now_ms;
        let id = job.id.clone();
        let progress = Progress {
            route: job.route.clone(),
            organisation: job.organisation.clone(),
            ..Progress::default()
        };
        let stored = Stored {
            job,
            progress,
            inserted_version: self.version,
            version: self.version,
            is_cancelled: false,
        };
        self.engine.add_job(stored.loaded(), self.now_ms, self.now_ms);
        self.store.insert(id.clone(), stored);
        id
    }

    pub fn cancel(&mut self, id: &str) {
        self.store.get_mut(id).expect("the job was submitted").is_cancelled = true;
        self.engine.cancel(id, self.now_ms);
    }

    pub fn state(&self, id: &str) -> JobState {
        self.store[id].progress.state
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += Self::STEP_MS;
            self.step();
        }
    }

    /// Runs until the condition holds; fails the test after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        let begin_ms = self.now_ms;
        while !condition(self) {
            assert!(
                self.now_ms < begin_ms + limit_ms,
                "not within {limit_ms} ms; violations {:?}\n{}",
                self.violations,
                self.notes.join("\n")
            );
            self.run_for(Self::STEP_MS);
        }
        self.now_ms - begin_ms
    }

    pub fn assert_sound(&self) {
        assert!(
            self.violations.is_empty(),
            "{:?}\n{}",
            self.violations,
            self.notes.join("\n")
        );
    }

    /// Returns the workers that run a task of the job.
    pub fn workers_of(&self, id: &str) -> Vec<CompactString> {
        let runs = |worker: &&FakeWorker| worker.runs.iter().any(|run| run.what.task.starts_with(id));
        self.workers
            .values()
            .filter(runs)
            .map(|worker| worker.id.clone())
            .collect()
    }

    fn step(&mut self) {
        let mut returned = Vec::new();
        for worker in self.workers.values_mut() {
            worker.advance(self.now_ms);
            if worker.end_upkeep(self.now_ms) {
                returned.push(worker.id.clone());
            }
        }
        for old in returned {
            // A machine that returns has a worker with a new id.
            let mut worker = self.workers.remove(&old).expect("the worker was just seen");
            worker.id = format!("{old}n").into();
            self.engine.set_worker(worker.entry(), self.now_ms);
            self.workers.insert(worker.id.clone(), worker);
        }
        let due: Vec<_> = self.late.extract_if(.., |late| late.at_ms <= self.now_ms).collect();
        for late in due {
            if self.workers[&late.id].born_unix_ms != late.born_unix_ms {
                continue;
            }
            self.deliver_start(&late.id, late.epoch, &late.order);
        }
        self.answer_renewals();
        if self.has_old_reports {
            self.former = self.workers.clone();
        }
        self.tick();
        self.check();
    }

    fn tick(&mut self) {
        self.engine.tick(self.now_ms, self.now_ms, true);
        let now_ms = self.now_ms;
        self.notes.extend(
            self.engine
                .take_notes()
                .into_iter()
                .map(|note| format!("{now_ms} {note}")),
        );
        for action in self.engine.take_actions() {
            self.act(action);
        }
    }

    fn target(&self, worker: WorkerKey) -> Option<CompactString> {
        self.engine.worker_target(worker).map(|(_, id)| id)
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start { worker, order } => {
                let Some(id) = self.target(worker) else { return };
                self.starts.push((self.now_ms, order.what.task.clone(), id.clone()));
                let outcome = self.start(&id, &order);
                self.engine.start_replied(worker, &order.what, outcome, self.now_ms);
            }
            Action::Stop { worker, what } => {
                let is_confirmed = self
                    .target(worker)
                    .and_then(|id| self.workers.get_mut(&id))
                    .is_some_and(|worker| worker.stop(&what, self.epoch, self.now_ms));
                self.engine.stop_replied(&what, is_confirmed, self.now_ms);
            }
            Action::Renew {
                worker,
                lease_until_ms,
                noted,
                wait_ms,
            } => {
                let Some(id) = self.target(worker) else { return };
                let epoch = self.epoch;
                let known = self.workers.get_mut(&id).filter(|worker| !worker.is_silent);
                match known {
                    Some(fake) => {
                        if fake.renew(lease_until_ms, noted, epoch, self.now_ms) {
                            self.renewals.push(Renewal {
                                worker,
                                id,
                                noted,
                                answer_by_ms: self.now_ms + wait_ms,
                            });
                        } else {
                            self.engine.renew_fenced(worker);
                        }
                    }
                    None => self.engine.renew_failed(worker, self.now_ms),
                }
            }
            Action::Pace { worker, what, percent } => {
                let Some(id) = self.target(worker) else { return };
                if let Some(run) = self.workers.get_mut(&id).and_then(|worker| worker.run_mut(&what)) {
                    run.pace_percent = percent;
                }
            }
            Action::Advise { step, workers } => {
                self.advice_calls.push((step, workers.len()));
                let is_good = |id: &&CompactString| self.permitted.is_empty() || self.permitted.contains(*id);
                let good: Vec<_> = workers
                    .iter()
                    .filter(is_good)
                    .map(|id| (id.clone(), format!("ticket-{id}").into()))
                    .collect();
                self.engine.advised(Some(&good), self.now_ms);
            }
            Action::ListMachines => {
                let machines = self.workers.values().map(|worker| Machine {
                    name: format!("m-{}", worker.machine).into(),
                    state: if worker.is_in_upkeep {
                        MachineState::Upkeep
                    } else {
                        MachineState::Up
                    },
                    worker: worker.id.clone(),
                });
                self.engine.set_machines(Some(machines.collect()), self.now_ms);
            }
            Action::Upkeep { machine, wave } => {
                let down = self.workers.values().filter(|worker| worker.is_in_upkeep).count();
                let is_named = |worker: &&mut FakeWorker| machine == format!("m-{}", worker.machine);
                let Some(worker) = self.workers.values_mut().find(is_named) else {
                    return;
                };
                if !worker.is_in_upkeep && !worker.had_upkeep {
                    self.most_down = self.most_down.max(down + 1);
                    self.interrupted += worker.runs.len();
                    worker.begin_upkeep(self.now_ms);
                    self.engine.unlist_worker(&worker.id.clone(), self.now_ms);
                }
                self.engine
                    .upkeep_replied(wave, &machine, UpkeepReply::Begun, self.now_ms);
            }
            Action::RaiseStartBound { version } => {
                if !self.is_store_down {
                    self.start_bound = Some(version);
                }
                self.engine
                    .start_bound_written(version, !self.is_store_down, self.now_ms);
            }
            Action::Commit(commit) => self.commit(&commit),
        }
    }

    fn start(&mut self, id: &CompactString, order: &domain::StartOrder) -> StartOutcome {
        if self.lose_starts > 0 {
            self.lose_starts -= 1;
            return StartOutcome::Unanswered;
        }
        if let Some(delay_ms) = self.late_start_ms.take() {
            self.late.push(LateOrder {
                at_ms: self.now_ms + delay_ms,
                id: id.clone(),
                epoch: self.epoch,
                born_unix_ms: self.workers[id].born_unix_ms,
                order: order.clone(),
            });
            return StartOutcome::Unanswered;
        }
        if self.workers.get(id).is_none_or(|worker| worker.is_silent) {
            return StartOutcome::Unanswered;
        }
        self.deliver_start(id, self.epoch, order)
    }

    fn deliver_start(&mut self, id: &CompactString, epoch: u64, order: &domain::StartOrder) -> StartOutcome {
        let Ok(name) = order.what.task.parse::<TaskName>() else {
            return StartOutcome::Rejected(Rejection::Malformed);
        };
        let stored = &self.store[&name.job];
        if self.start_bound.is_none_or(|bound| stored.inserted_version > bound) {
            self.violations
                .push(format!("{} started beyond {:?}", order.what.task, self.start_bound));
        }
        let step = stored.job.steps[name.step as usize].clone();
        let Some(worker) = self.workers.get_mut(id) else {
            return StartOutcome::Rejected(Rejection::NotSent);
        };
        match worker.start(order, &step, epoch, self.now_ms) {
            Ok(()) => StartOutcome::Started,
            Err(rejection) => StartOutcome::Rejected(rejection),
        }
    }

    fn answer_renewals(&mut self) {
        let now_ms = self.now_ms;
        let workers = &self.workers;
        let due: Vec<_> = self
            .renewals
            .extract_if(.., |renewal| {
                let has_ends = workers
                    .get(&renewal.id)
                    .is_some_and(|worker| worker.ends.iter().any(|end| end.number > renewal.noted));
                has_ends || now_ms >= renewal.answer_by_ms
            })
            .collect();
        for renewal in due {
            match self.workers.get(&renewal.id).filter(|worker| !worker.is_silent) {
                Some(worker) => {
                    let shown = self.former.get(&renewal.id).filter(|_| self.has_old_reports);
                    let report = shown.unwrap_or(worker).report(now_ms);
                    self.engine.renewed(renewal.worker, &report, now_ms);
                }
                None => self.engine.renew_failed(renewal.worker, now_ms),
            }
        }
    }

    fn commit(&mut self, commit: &Commit) {
        if commit.entries() > Commit::MAX_ENTRIES {
            // The store refuses the whole transaction.
            self.engine.commit_failed(&[], self.now_ms);
            return;
        }
        if self.is_store_down {
            self.engine.commit_failed(&[], self.now_ms);
            return;
        }
        let stale: Vec<_> = commit
            .rows
            .iter()
            .map(|row| (row.job.clone(), self.store[&row.job].version, row.expected_version))
            .filter(|(_, version, expected)| version != expected)
            .map(|(id, version, _)| (id, version))
            .collect();
        if !stale.is_empty() {
            self.engine.commit_failed(&stale, self.now_ms);
            return;
        }
        self.version += 1;
        for row in &commit.rows {
            let stored = self.store.get_mut(&row.job).expect("only accepted jobs have progress");
            if stored.progress.state.is_final() && stored.progress.state != row.progress.state {
                self.violations
                    .push(format!("{}: final state {:?} changed", row.job, stored.progress.state));
            }
            stored.progress = row.progress.clone();
            stored.version = self.version;
            if let Some((number, records)) = &row.records {
                self.records
                    .insert((row.job.clone(), self.epoch, *number), records.clone());
            }
        }
        for row in &commit.rows {
            self.check_records(&row.job);
        }
        for id in &commit.remove_jobs {
            match self.store.remove(id) {
                Some(stored) if !stored.progress.state.is_final() => {
                    self.violations.push(format!("{id} was removed before it was final"));
                }
                _ => {}
            }
        }
        self.waves.extend(commit.waves.iter().copied());
        for (id, address) in &commit.add_workers {
            self.used_workers.insert(id.clone(), address.clone());
        }
        for id in &commit.remove_workers {
            self.used_workers.remove(id);
        }
        if self.lose_commits > 0 {
            self.lose_commits -= 1;
            self.engine.commit_failed(&[], self.now_ms);
            return;
        }
        self.engine.committed(commit, self.version, self.now_ms);
    }

    /// Returns the durable records of a job without repetitions.
    pub fn records_of(&self, job: &str) -> Vec<RunRecord> {
        let mut all: Vec<RunRecord> = Vec::new();
        for record in self
            .records
            .iter()
            .filter(|((id, _, _), _)| id == job)
            .flat_map(|(_, row)| row)
        {
            let is_same = |other: &RunRecord| {
                (other.occurrence, other.step, other.index, other.run)
                    == (record.occurrence, record.step, record.index, record.run)
            };
            match all.iter_mut().find(|other| is_same(other)) {
                Some(known) if known.is_assumed => *known = record.clone(),
                Some(_) => {}
                None => all.push(record.clone()),
            }
        }
        all
    }

    /// Checks that what is done has a record of one run that did it.
    fn check_records(&mut self, job: &str) {
        let stored = &self.store[job];
        let records = self.records_of(job);
        let done: Vec<_> = records.iter().filter(|record| record.how == EndKind::Done).collect();
        for (number, step) in stored.job.steps.iter().enumerate() {
            let of_step = |record: &&&RunRecord| record.step as usize == number;
            for index in 0..step.count {
                let is_shown = stored.progress.state == JobState::Done
                    || stored.progress.steps.values().any(|steps| {
                        steps
                            .get(&(number as u32))
                            .is_some_and(|progress| progress.done.contains(&index))
                    });
                let runs = done
                    .iter()
                    .filter(of_step)
                    .filter(|record| step.is_gang || record.index == index);
                if is_shown && runs.count() == 0 {
                    self.violations
                        .push(format!("{job}: step {number} task {index} is done without a record"));
                }
            }
        }
    }

    /// Checks capacity, single runs, no start after a noted end, and the list of used workers.
    fn check(&mut self) {
        let mut tasks: BTreeMap<CompactString, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            if worker.is_over_capacity() {
                self.violations
                    .push(format!("{} ms: {} is over its capacity", self.now_ms, worker.id));
            }
            if !worker.runs.is_empty() && !self.used_workers.contains_key(&worker.id) {
                self.violations
                    .push(format!("{} runs work but is not recorded", worker.id));
            }
            for run in &worker.runs {
                *tasks.entry(run.what.task.clone()).or_default() += 1;
            }
        }
        for (task, count) in tasks.into_iter().filter(|(_, count)| *count > 1) {
            self.violations
                .push(format!("{} ms: {task} runs {count} times", self.now_ms));
        }
    }
}

/// Entry of a worker with the usual capacity.
pub fn entry(id: &CompactString, rack: &CompactString, born_unix_ms: u64) -> WorkerEntry {
    WorkerEntry {
        id: id.clone(),
        address: format!("10.0.0.1:{id}").into(),
        service: "valuation".into(),
        data_centre: "dc1".into(),
        rack: rack.clone(),
        labels: vec!["a".into(), rack.clone()],
        capacity: Resources {
            cpu_milli: 32_000,
            memory_mib: 64 * GIB,
            accelerators: 8,
        },
        state: EntryState::Ready,
        born_unix_ms: Some(born_unix_ms),
    }
}
