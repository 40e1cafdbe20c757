//! Fake workers and a fake store around an engine, with a clock of its own, and checks of what must always hold.

mod fake_worker;
mod orders;
mod records;
mod rows;

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
