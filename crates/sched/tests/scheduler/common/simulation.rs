use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use model::{Answer, Charge, Epoch, JobId, JobRow, JobSpec, LeaseId, Outcome, Resources, WorkerId};
use sched::{Action, Input, Scheduler, Settings, WorkerReply, WriteId};
use trace::EventKind;

use super::{ArmedFault, Command, Defect, FakeWorker, Fault, FirstFit, Step, Table, TestPolicy, config};

mod events;
mod injection;

const TICK_INTERVAL_MS: u64 = 100;
const LEASE_INTERVAL_MS: u64 = 500;
const LINK_LATENCY_MS: u64 = 1;
const COMMAND_TIMEOUT_MS: u64 = 2_000;

#[derive(Debug, Clone)]
struct Write {
    id: WriteId,
    row: Box<JobRow>,
    expected_version: u64,
    answer: Option<Box<Answer>>,
    charge: Option<Box<Charge>>,
}

/// Scheduled event with the index of the instance, its incarnation and, for commands, the message id and worker index.
#[derive(Debug, Clone)]
enum SimEvent {
    Tick(usize),
    SchedulingLease(usize),
    Input(usize, u32, Input),
    Deliver(usize, u32, u64, usize, Command, Delivery),
    Reply(usize, u32, u64, usize, WorkerReply),
    Timeout(usize, u32, u64, usize, Command),
    ApplyWrite(usize, u32, Write, Delivery),
    ReadBack(usize, u32, Write),
    Scan(usize, u32),
    ThawInstance(usize),
    RestartInstance(usize),
    ThawWorker(usize),
    RestartWorker(usize),
    ReachStep(Step),
    RenewGrants,
}

/// Faults in the delivery of one message.
#[derive(Debug, Clone, Copy, Default)]
struct Delivery {
    is_request_lost: bool,
    is_reply_lost: bool,
    delay_ms: u64,
    is_duplicated: bool,
}

/// State of an instance's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Running,
    Frozen,
    Dead,
}

/// Entry instance with its scheduler.
#[derive(Debug)]
struct Node<P> {
    sched: Scheduler<P>,
    incarnation: u32,
    process: Process,
    inbox: VecDeque<Input>,
    pending_actions: Vec<Action>,
    epoch: Option<Epoch>,
    is_store_reachable: bool,
    is_stopping: bool,
    /// Whether the scheduler has handed over, so that its scheduling lease can be released.
    is_handed_over: bool,
}

/// Simulation of two entry instances, some workers and the platform, driven by one event queue.
#[derive(Debug)]
pub struct Simulation<P> {
    pub now_ms: u64,
    pub workers: Vec<FakeWorker>,
    pub table: Table,
    pub armed: Vec<ArmedFault>,
    pub outcomes: Vec<(JobId, Outcome)>,
    pub specs: Vec<JobSpec>,
    pub grants: BTreeMap<LeaseId, (usize, WorkerId)>,
    pub out_of_service_ms: Option<u64>,
    pub draining_worker: Option<(usize, u64)>,
    pub last_fault_ms: u64,
    pub events: Vec<(u64, EventKind)>,
    /// Number of actions that all schedulers returned.
    pub action_count: usize,
    nodes: Vec<Node<P>>,
    queue: BTreeMap<(u64, u64), SimEvent>,
    sequence: u64,
    pending_commands: BTreeSet<u64>,
    lease_holder: Option<usize>,
    epoch: Epoch,
    lease_renewed_ms: u64,
    config_version: u64,
    store_down_until_ms: u64,
    store_slow_until_ms: u64,
    stale_scans_until_ms: u64,
    cut_off_until_ms: Vec<u64>,
}

/// Simulation with the first-fit policy.
pub type FirstFitSimulation = Simulation<FirstFit>;

impl<P: TestPolicy> Simulation<P> {
    /// Creates a simulation with two instances and `workers` workers of 8 slots and 8 accelerators.
    pub fn new(workers: usize, defect: Option<Defect>) -> Self {
        let capacity = Resources::new(8, 8, 32_000, 64_000);
        let ids: Vec<WorkerId> = (1..=workers).map(|n| format!("w{n}").parse().unwrap()).collect();
        let node = |name: &str| Node {
            sched: Self::scheduler(name, &ids, Settings::default()),
            incarnation: 0,
            process: Process::Running,
            inbox: VecDeque::new(),
            pending_actions: Vec::new(),
            epoch: None,
            is_store_reachable: true,
            is_stopping: false,
            is_handed_over: false,
        };
        let mut sim = Self {
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
            out_of_service_ms: None,
            draining_worker: None,
            last_fault_ms: 0,
            events: Vec::new(),
            action_count: 0,
            nodes: vec![node("a"), node("b")],
            queue: BTreeMap::new(),
            sequence: 0,
            pending_commands: BTreeSet::new(),
            lease_holder: None,
            epoch: Epoch(0),
            lease_renewed_ms: 0,
            config_version: 1,
            store_down_until_ms: 0,
            store_slow_until_ms: 0,
            stale_scans_until_ms: 0,
            cut_off_until_ms: vec![0; workers],
        };
        for node in 0..2 {
            sim.schedule(node as u64, SimEvent::SchedulingLease(node));
            sim.schedule(10 + node as u64, SimEvent::Tick(node));
        }
        sim.configure(true, false);
        sim
    }

    fn scheduler(name: &str, workers: &[WorkerId], settings: Settings) -> Scheduler<P> {
        let capacity = Resources::new(8, 8, 32_000, 64_000);
        let policy = P::for_workers(workers, capacity);
        let (instance, dc) = (name.parse().unwrap(), "dc1".parse().unwrap());
        Scheduler::new(settings, policy, instance, dc, workers.to_vec())
    }

    fn schedule(&mut self, at_ms: u64, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((at_ms, self.sequence), event);
    }

    /// Processes all events up to `until_ms`.
    pub fn run_until(&mut self, until_ms: u64) {
        let mut count = 0;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until_ms) {
            let ((at_ms, _), event) = entry.remove_entry();
            count = if at_ms == self.now_ms { count + 1 } else { 0 };
            assert!(count < 100_000, "100,000 events at {at_ms} ms");
            self.now_ms = at_ms;
            self.process_event(event);
        }
        self.now_ms = until_ms;
        for worker in &mut self.workers {
            worker.advance(until_ms);
        }
    }

    /// Stores a job and submits it to the lease holder.
    pub fn submit(&mut self, spec: JobSpec) {
        let row = JobRow::new(spec, "dc1".parse().unwrap(), self.unix_ms());
        self.submit_row(row);
    }

    /// Stores the row of a job and submits it to the lease holder.
    pub fn submit_row(&mut self, row: JobRow) {
        self.specs.push(row.spec.clone());
        self.table.commit(&row, 0, None, None);
        let version = self.table.rows[&row.id()].1;
        let id = row.id();
        let delivery = self.inject_faults(Step::Accept, self.lease_holder, None, Some(id));
        let row = Box::new(row);
        let input = Input::Submitted { row, version };
        if let Some(node) = self.lease_holder.filter(|_| !delivery.is_request_lost) {
            self.send_input(node, LINK_LATENCY_MS + delivery.delay_ms, input.clone());
            if delivery.is_duplicated {
                self.send_input(node, 2 * LINK_LATENCY_MS, input);
            }
        }
    }

    /// Schedules a scripted step at `at_ms`.
    pub fn schedule_step(&mut self, at_ms: u64, step: Step) {
        self.schedule(at_ms, SimEvent::ReachStep(step));
    }

    /// Sends a new configuration to every instance.
    pub fn configure(&mut self, in_service: bool, reclaim: bool) {
        let config = Arc::new(config(self.config_version, in_service, reclaim));
        self.config_version += 1;
        for node in 0..2 {
            let config = config.clone();
            self.send_input(node, LINK_LATENCY_MS, Input::Configured { config });
        }
    }

    /// Tells every instance how many granted slots each live one wants.
    pub fn set_wanted_slots(&mut self, wanted: u16) {
        let live = ["a", "b"]
            .into_iter()
            .zip(&self.nodes)
            .filter(|(_, node)| node.process != Process::Dead);
        let wanted_slots: Vec<_> = live.map(|(name, _)| (name.parse().unwrap(), wanted)).collect();
        for node in 0..2 {
            let wanted_slots = wanted_slots.clone();
            self.send_input(node, LINK_LATENCY_MS, Input::Instances { wanted_slots });
        }
        self.schedule(self.now_ms + 1_000, SimEvent::RenewGrants);
    }

    /// Cancels a job as an entry instance does: sets the flag in its row and notifies the lease holder.
    pub fn cancel(&mut self, job: &JobId) {
        if let Some((mut row, version)) = self.table.rows.get(job).cloned()
            && self.is_store_up()
            && !row.state.is_final()
        {
            row.cancel_requested = true;
            self.table.commit(&row, version, None, None);
        }
        if let Some(node) = self.lease_holder {
            self.send_input(node, LINK_LATENCY_MS, Input::CancelRequested { job: job.clone() });
        }
    }

    /// Arms a fault, if there is one.
    pub fn arm_fault(&mut self, fault: Option<Fault>, step: Step, skip: u32) {
        self.armed.extend(fault.map(|fault| ArmedFault::new(fault, step, skip)));
    }

    /// Recreates the schedulers with a bound on buffered attempt records.
    pub fn set_max_buffered_jobs(&mut self, max_buffered_jobs: usize) {
        for (node, name) in self.nodes.iter_mut().zip(["a", "b"]) {
            let ids: Vec<WorkerId> = self.workers.iter().map(|worker| worker.id.clone()).collect();
            let settings = Settings {
                max_buffered_jobs,
                ..Settings::default()
            };
            node.sched = Self::scheduler(name, &ids, settings);
        }
    }

    /// Returns the number of grants that an instance holds and that are live on a running worker.
    pub fn live_grant_count(&self) -> usize {
        let inventories = self
            .workers
            .iter()
            .filter(|worker| !worker.is_dead)
            .map(|w| w.inventory(self.now_ms));
        let leases = inventories.flat_map(|inventory| inventory.leases);
        leases.filter(|info| self.grants.contains_key(&info.lease)).count()
    }

    /// Returns the number of jobs that the schedulers keep in memory.
    pub fn jobs_in_memory(&self) -> usize {
        self.nodes.iter().map(|node| node.sched.job_count()).sum()
    }

    fn unix_ms(&self) -> u64 {
        1_000_000 + self.now_ms
    }

    fn is_store_up(&self) -> bool {
        self.store_down_until_ms <= self.now_ms
    }

    fn store_latency_ms(&self) -> u64 {
        if self.store_slow_until_ms > self.now_ms {
            1_500
        } else {
            2
        }
    }

    fn send_input(&mut self, node: usize, after_ms: u64, input: Input) {
        let incarnation = self.nodes[node].incarnation;
        self.schedule(self.now_ms + after_ms, SimEvent::Input(node, incarnation, input));
    }
}
