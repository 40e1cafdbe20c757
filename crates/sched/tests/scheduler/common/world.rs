use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use model::{Answer, Charge, Epoch, JobId, JobRow, JobSpec, LeaseId, Outcome, Resources, WorkerId};
use sched::{Action, Input, Scheduler, Settings, WorkerReply, WriteId};
use trace::EventKind;

use super::{Armed, Command, Defect, FakeWorker, Fault, FirstFit, Fleet, Step, Table, config};

mod drive;
mod strike;

const TICK_MS: u64 = 100;
const LEASE_MS: u64 = 500;
const LINK_MS: u64 = 1;
const TIMEOUT_MS: u64 = 2_000;

#[derive(Debug, Clone)]
struct Write {
    id: WriteId,
    row: Box<JobRow>,
    expected_version: u64,
    answer: Option<Box<Answer>>,
    charge: Option<Box<Charge>>,
}

#[derive(Debug, Clone)]
enum Ev {
    Tick(usize),
    Lease(usize),
    Input(usize, u32, Input),
    Deliver(usize, u32, u64, usize, Command, Message),
    Reply(usize, u32, u64, usize, WorkerReply),
    Timeout(usize, u32, u64, usize, Command),
    Apply(usize, u32, Write, Message),
    ReadBack(usize, u32, Write),
    Scan(usize, u32),
    Thaw(usize),
    Revive(usize),
    ThawWorker(usize),
    RestartWorker(usize),
    Reach(Step),
    RenewGrants,
}

/// What happens to one message.
#[derive(Debug, Clone, Copy, Default)]
struct Message {
    is_request_lost: bool,
    is_reply_lost: bool,
    delay_ms: u64,
    is_duplicated: bool,
}

/// State of an instance's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Runs,
    Frozen,
    Dead,
}

#[derive(Debug)]
struct Node<P> {
    sched: Scheduler<P>,
    incarnation: u32,
    process: Process,
    inbox: VecDeque<Input>,
    held_back: Vec<Action>,
    epoch: Option<Epoch>,
    sees_store: bool,
    is_stopping: bool,
    /// Whether the scheduling lease can be released.
    is_handed_over: bool,
}

/// Two entry instances, some workers and the platform, driven by one event queue.
#[derive(Debug)]
pub struct AnyWorld<P> {
    pub now_ms: u64,
    pub workers: Vec<FakeWorker>,
    pub table: Table,
    pub armed: Vec<Armed>,
    pub outcomes: Vec<(JobId, Outcome)>,
    pub specs: Vec<JobSpec>,
    pub grants: BTreeMap<LeaseId, (usize, WorkerId)>,
    pub out_ms: Option<u64>,
    pub leaving_ms: Option<(usize, u64)>,
    pub last_fault_ms: u64,
    pub events: Vec<(u64, EventKind)>,
    /// Number of actions that all schedulers asked for.
    pub actions: usize,
    nodes: Vec<Node<P>>,
    queue: BTreeMap<(u64, u64), Ev>,
    sequence: u64,
    open: BTreeSet<u64>,
    holder: Option<usize>,
    epoch: Epoch,
    renewed_ms: u64,
    version: u64,
    store_down_until_ms: u64,
    store_slow_until_ms: u64,
    stale_until_ms: u64,
    cut_off_until_ms: Vec<u64>,
}

/// World with the first-fit policy.
pub type World = AnyWorld<FirstFit>;

impl<P: Fleet> AnyWorld<P> {
    /// Creates a world with two instances and `workers` workers of 8 slots and 8 accelerators.
    pub fn new(workers: usize, defect: Option<Defect>) -> Self {
        let capacity = Resources::new(8, 8, 32_000, 64_000);
        let ids: Vec<WorkerId> = (1..=workers).map(|n| format!("w{n}").parse().unwrap()).collect();
        let node = |name: &str| Node {
            sched: Self::scheduler(name, &ids, Settings::default()),
            incarnation: 0,
            process: Process::Runs,
            inbox: VecDeque::new(),
            held_back: Vec::new(),
            epoch: None,
            sees_store: true,
            is_stopping: false,
            is_handed_over: false,
        };
        let mut world = Self {
            now_ms: 0,
            workers: ids
                .iter()
                .map(|id| FakeWorker::new(id.clone(), capacity, defect))
                .collect(),
            table: Table {
                defect,
                ..Table::default()
            },
            armed: Vec::new(),
            outcomes: Vec::new(),
            specs: Vec::new(),
            grants: BTreeMap::new(),
            out_ms: None,
            leaving_ms: None,
            last_fault_ms: 0,
            events: Vec::new(),
            actions: 0,
            nodes: vec![node("a"), node("b")],
            queue: BTreeMap::new(),
            sequence: 0,
            open: BTreeSet::new(),
            holder: None,
            epoch: Epoch(0),
            renewed_ms: 0,
            version: 1,
            store_down_until_ms: 0,
            store_slow_until_ms: 0,
            stale_until_ms: 0,
            cut_off_until_ms: vec![0; workers],
        };
        for node in 0..2 {
            world.post(node as u64, Ev::Lease(node));
            world.post(10 + node as u64, Ev::Tick(node));
        }
        world.configure(true, false);
        world
    }

    fn scheduler(name: &str, workers: &[WorkerId], settings: Settings) -> Scheduler<P> {
        let capacity = Resources::new(8, 8, 32_000, 64_000);
        let policy = P::fleet(workers, capacity);
        let (instance, dc) = (name.parse().unwrap(), "dc1".parse().unwrap());
        Scheduler::new(settings, policy, instance, dc, workers.to_vec())
    }

    fn post(&mut self, at_ms: u64, ev: Ev) {
        self.sequence += 1;
        self.queue.insert((at_ms, self.sequence), ev);
    }

    /// Runs until `until_ms`.
    pub fn run(&mut self, until_ms: u64) {
        let mut count = 0;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until_ms) {
            let ((at_ms, _), ev) = entry.remove_entry();
            count = if at_ms == self.now_ms { count + 1 } else { 0 };
            assert!(count < 100_000, "endless exchange at {at_ms} ms");
            self.now_ms = at_ms;
            self.happen(ev);
        }
        self.now_ms = until_ms;
        for worker in &mut self.workers {
            worker.pass(until_ms);
        }
    }

    /// Makes a job durable and hands it to the holder.
    pub fn submit(&mut self, spec: JobSpec) {
        let row = JobRow::new(spec.clone(), "dc1".parse().unwrap(), self.unix_ms());
        self.specs.push(spec);
        self.table.commit(&row, 0, None, None);
        let version = self.table.rows[&row.id()].1;
        let id = row.id();
        let message = self.strike(Step::Accept, self.holder, None, Some(id));
        let row = Box::new(row);
        let input = Input::Submitted { row, version };
        if let Some(node) = self.holder.filter(|_| !message.is_request_lost) {
            self.send(node, LINK_MS + message.delay_ms, input.clone());
            if message.is_duplicated {
                self.send(node, 2 * LINK_MS, input);
            }
        }
    }

    /// Reaches a scripted step at `at_ms`.
    pub fn reach_at(&mut self, at_ms: u64, step: Step) {
        self.post(at_ms, Ev::Reach(step));
    }

    /// Gives every instance a configuration.
    pub fn configure(&mut self, in_service: bool, reclaim: bool) {
        let config = Arc::new(config(self.version, in_service, reclaim));
        self.version += 1;
        for node in 0..2 {
            let config = config.clone();
            self.send(node, LINK_MS, Input::Configured { config });
        }
    }

    /// Tells every instance how many granted slots the live ones want.
    pub fn want_grants(&mut self, wanted: u16) {
        let live = ["a", "b"]
            .into_iter()
            .zip(&self.nodes)
            .filter(|(_, node)| node.process != Process::Dead);
        let wanted_slots: Vec<_> = live.map(|(name, _)| (name.parse().unwrap(), wanted)).collect();
        for node in 0..2 {
            let wanted_slots = wanted_slots.clone();
            self.send(node, LINK_MS, Input::Instances { wanted_slots });
        }
        self.post(self.now_ms + 1_000, Ev::RenewGrants);
    }

    /// Cancels a job through an entry instance: the flag in its row, and word to the holder.
    pub fn cancel(&mut self, job: &JobId) {
        if let Some((mut row, version)) = self.table.rows.get(job).cloned()
            && self.is_store_up()
            && !row.state.is_final()
        {
            row.cancel_requested = true;
            self.table.commit(&row, version, None, None);
        }
        if let Some(node) = self.holder {
            self.send(node, LINK_MS, Input::CancelRequested { job: job.clone() });
        }
    }

    /// Arms a fault, if there is one.
    pub fn arm(&mut self, fault: Option<Fault>, step: Step, skip: u32) {
        self.armed.extend(fault.map(|fault| Armed::new(fault, step, skip)));
    }

    /// Makes the schedulers buffer at most this many records.
    pub fn set_max_buffered(&mut self, max_buffered_jobs: usize) {
        for (node, name) in self.nodes.iter_mut().zip(["a", "b"]) {
            let ids: Vec<WorkerId> = self.workers.iter().map(|worker| worker.id.clone()).collect();
            let settings = Settings {
                max_buffered_jobs,
                ..Settings::default()
            };
            node.sched = Self::scheduler(name, &ids, settings);
        }
    }

    /// Returns how many grants an instance holds that are live at a worker which is up.
    pub fn live_grants(&self) -> usize {
        let inventories = self
            .workers
            .iter()
            .filter(|worker| !worker.is_dead)
            .map(|w| w.inventory(self.now_ms));
        let leases = inventories.flat_map(|inventory| inventory.leases);
        leases.filter(|info| self.grants.contains_key(&info.lease)).count()
    }

    /// Returns how many jobs the holder keeps in memory.
    pub fn jobs_in_memory(&self) -> usize {
        self.nodes.iter().map(|node| node.sched.job_count()).sum()
    }

    fn unix_ms(&self) -> u64 {
        1_000_000 + self.now_ms
    }

    fn is_store_up(&self) -> bool {
        self.store_down_until_ms <= self.now_ms
    }

    fn store_ms(&self) -> u64 {
        if self.store_slow_until_ms > self.now_ms {
            1_500
        } else {
            2
        }
    }

    fn send(&mut self, node: usize, after_ms: u64, input: Input) {
        let incarnation = self.nodes[node].incarnation;
        self.post(self.now_ms + after_ms, Ev::Input(node, incarnation, input));
    }
}
