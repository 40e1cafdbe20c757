use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    Adjacency, Answer, Config, DataCentreId, Epoch, Inventory, JobRow, JobSpec, LeaseId, Shape, TaskId, TaskReport,
    TaskState, Topology, WorkerId, WorkerReport,
};
use policy::Policy;
use sched::{Action, Input, Scheduler, Settings, WorkerReply, WriteOutcome};

use crate::CountingAllocator;

/// Fake worker with the task reports that the next renewal returns.
#[derive(Debug, Default)]
struct FakeWorker {
    sequence: u64,
    changes: Vec<TaskReport>,
}

/// Scheduler of one data centre with fake workers and a fake store that reply immediately.
#[derive(Debug)]
pub struct SchedulerHarness<P> {
    scheduler: Scheduler<P>,
    data_centre: DataCentreId,
    workers: BTreeMap<WorkerId, FakeWorker>,
    running: BTreeMap<TaskId, (WorkerId, LeaseId)>,
    now_ms: u64,
    next_job: u64,
    /// Time spent in the scheduler.
    pub scheduler_time: Duration,
    /// Serialized bytes of renew requests and of the reports in reply.
    pub renew_bytes: (u64, u64),
    /// Time spent on serializing renew requests to JSON and parsing the reports.
    pub json_time: Duration,
    /// Whether bytes and JSON time of renewals are measured.
    pub counts_bytes: bool,
}

impl<P: Policy> SchedulerHarness<P> {
    const START_UNIX_MS: u64 = 1_700_000_000_000;
    const TICK_MS: u64 = 100;

    /// Creates an elected scheduler of the first data centre.
    ///
    /// # Panics
    ///
    /// Panics if the topology has no data centre.
    pub fn new(topology: &Topology, config: &Config, policy: P) -> Self {
        let dc = &topology.data_centres[0];
        let workers: Vec<WorkerId> = dc.workers().map(|worker| worker.id.clone()).collect();
        let instance = "entry-1".parse().expect("the name is valid");
        let mut harness = Self {
            scheduler: Scheduler::new(Settings::default(), policy, instance, dc.id.clone(), workers.clone()),
            data_centre: dc.id.clone(),
            workers: workers.into_iter().map(|id| (id, FakeWorker::default())).collect(),
            running: BTreeMap::new(),
            now_ms: 0,
            next_job: 0,
            scheduler_time: Duration::ZERO,
            renew_bytes: (0, 0),
            json_time: Duration::ZERO,
            counts_bytes: false,
        };
        harness.configure(config);
        harness.handle(Input::Elected { epoch: Epoch(1) });
        harness.advance_time(8_000);
        harness
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the memory of the fake workers, which does not belong to the scheduler.
    pub fn fake_worker_bytes(&self) -> f64 {
        let before = CountingAllocator::live_bytes();
        let copies = (self.running.clone(), self.workers.keys().cloned().collect::<Vec<_>>());
        let bytes = CountingAllocator::live_bytes() - before;
        drop(copies);
        bytes as f64
    }

    /// Applies a configuration.
    pub fn configure(&mut self, config: &Config) {
        let config = Arc::new(config.clone());
        self.handle(Input::Configured { config });
    }

    /// Submits a job of one part and handles all resulting actions.
    ///
    /// # Panics
    ///
    /// Never panics in practice: the generated names are valid.
    pub fn submit(&mut self, organisation: &model::OrganisationId) {
        self.next_job += 1;
        let request = format!("request-{:012}", self.next_job);
        let spec = JobSpec::new(organisation.clone(), request.parse().expect("the name is valid"))
            .idempotent(true)
            .checkpointable(true)
            .shape(Shape::new(1, 1, Adjacency::Worker))
            .cpu_milli_per_part(1_500)
            .memory_mib_per_part(4 * 1024)
            .declared_run_ms(120_000);
        let row = JobRow::new(spec, self.data_centre.clone(), Self::START_UNIX_MS + self.now_ms);
        self.handle(Input::Submitted {
            row: Box::new(row),
            version: 1,
        });
    }

    /// Finishes the first `count` running tasks in order of task id; the next renewals report them.
    pub fn finish(&mut self, count: usize) {
        for _ in 0..count {
            let Some((task, (worker, lease))) = self.running.pop_first() else {
                return;
            };
            let answer = Answer::new(task.job.request.clone(), "x".repeat(200));
            if let Some(fake) = self.workers.get_mut(&worker) {
                fake.sequence += 1;
                fake.changes
                    .push(report(task, lease, TaskState::Finished, Some(answer)));
            }
        }
    }

    /// Advances the time in ticks.
    pub fn advance_time(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += Self::TICK_MS;
            self.handle(Input::Tick);
        }
    }

    /// Passes an input to the scheduler and replies to all actions until none is left.
    fn handle(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut actions = Vec::new();
            let start = Instant::now();
            self.scheduler
                .handle(self.now_ms, Self::START_UNIX_MS + self.now_ms, input, &mut actions);
            self.scheduler_time += start.elapsed();
            for action in actions {
                inputs.extend(self.reply(action));
            }
        }
    }

    fn reply(&mut self, action: Action) -> Option<Input> {
        match action {
            Action::ScanJobs => Some(Input::JobRows { rows: Vec::new() }),
            Action::Write {
                write,
                expected_version,
                ..
            } => Some(Input::Written {
                write,
                outcome: WriteOutcome::Done {
                    version: expected_version + 1,
                },
            }),
            Action::Fence { worker, epoch } => {
                let inventory = Inventory {
                    worker: worker.clone(),
                    epoch,
                    leaving: false,
                    sequence: 0,
                    leases: Vec::new(),
                    tasks: Vec::new(),
                    ended_leases: Vec::new(),
                };
                let reply = WorkerReply::Fenced(Box::new(inventory));
                Some(Input::Worker { worker, reply })
            }
            Action::Lease { worker, request } => {
                let reply = WorkerReply::Leased {
                    lease: request.lease,
                    result: Ok(()),
                };
                Some(Input::Worker { worker, reply })
            }
            Action::Start { worker, request } => {
                let (task, lease) = (request.task.clone(), request.lease);
                self.running.insert(task.clone(), (worker.clone(), lease));
                let result = Ok(Box::new(report(task.clone(), lease, TaskState::Running, None)));
                let reply = WorkerReply::Started { task, result };
                Some(Input::Worker { worker, reply })
            }
            Action::Renew { worker, request } => {
                let fake = self.workers.get_mut(&worker)?;
                let answer = WorkerReport {
                    worker: worker.clone(),
                    leaving: false,
                    sequence: fake.sequence,
                    changes: std::mem::take(&mut fake.changes),
                    lapsed: Vec::new(),
                };
                if self.counts_bytes {
                    let sent = serde_json::to_vec(&answer).expect("a report is written as JSON");
                    let start = Instant::now();
                    let request = serde_json::to_vec(&request).expect("a request is written as JSON");
                    let read: Result<WorkerReport, _> = serde_json::from_slice(&sent);
                    self.json_time += start.elapsed();
                    assert!(read.is_ok(), "a report is read back");
                    self.renew_bytes.0 += request.len() as u64;
                    self.renew_bytes.1 += sent.len() as u64;
                }
                let reply = WorkerReply::Renewed(Ok(Box::new(answer)));
                Some(Input::Worker { worker, reply })
            }
            Action::Stop { worker, task } | Action::Checkpoint { worker, task } => {
                let (_, lease) = self.running.remove(&task)?;
                let result = Ok(Box::new(report(task.clone(), lease, TaskState::Stopped, None)));
                let reply = WorkerReply::Ended { task, result };
                Some(Input::Worker { worker, reply })
            }
            Action::Revoke { worker, lease } => {
                let result = Ok(Vec::new());
                let reply = WorkerReply::Revoked { lease, result };
                Some(Input::Worker { worker, reply })
            }
            _ => None,
        }
    }
}

fn report(task: TaskId, lease: LeaseId, state: TaskState, answer: Option<Answer>) -> TaskReport {
    TaskReport {
        task,
        lease,
        state,
        answer,
        failure: None,
        checkpoint: None,
        accelerator_ms: 60_000,
    }
}
