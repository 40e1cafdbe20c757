//! Carries out the decisions of a policy on simulated workers and checks each of them.

use std::collections::{BTreeMap, BTreeSet};

use model::{Config, DataCentreStatus, Guarantee, JobSpec, Organisation, Refusal, Resources, Shape, Topology};
use policy::{Decision, Event, FailReason, GuaranteedShare, JobKey, PlanError, Policy, Preemption, WorkerKey};

use super::ledger::Ledger;

#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
    Finished,
    Failed(FailReason),
    Refused(Refusal),
    Removed,
}

#[derive(Debug)]
pub struct Sim {
    pub policy: GuaranteedShare,
    pub topology: Topology,
    pub workers: Vec<WorkerKey>,
    pub ledger: Ledger,
    pub config: Config,
    pub now_ms: u64,
    pub up: Vec<bool>,
    /// Workers on which everything fails.
    pub broken: BTreeSet<usize>,
    pub specs: BTreeMap<JobKey, (JobSpec, u64)>,
    pub started: BTreeMap<JobKey, u64>,
    pub ended: BTreeMap<JobKey, Ended>,
    pub preempted: Vec<(JobKey, Preemption)>,
    pub starts: u32,
    pub lost: u32,
    /// When running work ends, and how.
    due: BTreeSet<(u64, JobKey, bool)>,
}

pub const GRACE_MS: u64 = 400;

impl Sim {
    pub fn new(topology: Topology, config: Config) -> Self {
        let mut policy = GuaranteedShare::new(&topology);
        policy.configure(0, &config).expect("the configuration fits");
        let workers: Vec<WorkerKey> = topology.workers().map(|w| policy.worker_key(&w.id).unwrap()).collect();
        let mut sim = Self {
            ledger: Ledger::new(&topology),
            up: vec![true; workers.len()],
            policy,
            topology,
            workers,
            config,
            now_ms: 0,
            broken: BTreeSet::new(),
            specs: BTreeMap::new(),
            started: BTreeMap::new(),
            ended: BTreeMap::new(),
            preempted: Vec::new(),
            starts: 0,
            lost: 0,
            due: BTreeSet::new(),
        };
        sim.replanned();
        sim
    }

    pub fn worker_up(&mut self, worker: usize) {
        self.up[worker] = true;
        let worker = self.workers[worker];
        self.policy.observe(self.now_ms, Event::WorkerUp { worker });
        self.replanned();
    }

    pub fn worker_down(&mut self, worker: usize) {
        self.up[worker] = false;
        let key = self.workers[worker];
        self.policy.observe(self.now_ms, Event::WorkerDown { worker: key });
        let held = self
            .ledger
            .held
            .iter()
            .filter(|(_, (_, workers))| workers.contains(&worker));
        for job in held.map(|(&job, _)| job).collect::<Vec<_>>() {
            self.end(job);
            self.policy
                .observe(self.now_ms, Event::Stopped { job, preserved_ms: 0 });
        }
        self.replanned();
    }

    pub fn configure(&mut self, config: Config) -> Result<(), PlanError> {
        self.policy.configure(self.now_ms, &config)?;
        self.config = config;
        self.replanned();
        Ok(())
    }

    fn replanned(&mut self) {
        let homes = self
            .topology
            .data_centres
            .iter()
            .flat_map(|dc| dc.workers().map(|_| &dc.id));
        let serving: Vec<bool> = homes.map(|dc| self.config.is_in_service(dc)).collect();
        self.ledger.open = serving
            .iter()
            .zip(&self.up)
            .map(|(serving, up)| *serving && *up)
            .collect();
        self.ledger.tolerate(self.policy.plan());
        self.ledger.check_plan(self.policy.plan(), &self.ledger.open).unwrap();
    }

    pub fn submit(&mut self, spec: &JobSpec, run_ms: u64) -> Result<JobKey, Refusal> {
        let key = self.policy.submit(self.now_ms, spec)?;
        self.specs.insert(key, (spec.clone(), run_ms));
        Ok(key)
    }

    pub fn cancel(&mut self, job: JobKey) {
        if !self.ended.contains_key(&job) {
            self.end(job);
            self.policy.observe(self.now_ms, Event::Removed { job });
            self.ended.insert(job, Ended::Removed);
        }
    }

    fn end(&mut self, job: JobKey) {
        self.ledger.end(job);
        self.due.retain(|entry| entry.1 != job);
    }

    /// Lets time pass up to an instant, with a decision every `step_ms`.
    pub fn run_until(&mut self, until_ms: u64, step_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += step_ms;
            self.finish_due();
            self.decide();
        }
    }

    pub fn finish_due(&mut self) {
        while let Some(&(at, job, stopped)) = self.due.first()
            && at <= self.now_ms
        {
            let workers = self.ledger.held[&job].1.clone();
            self.end(job);
            let broken = workers.iter().find(|worker| self.broken.contains(worker));
            let event = if stopped {
                let preserved = self.specs[&job].0.checkpointable;
                let run_ms = self.now_ms - self.started[&job];
                Event::Stopped {
                    job,
                    preserved_ms: if preserved { run_ms } else { 0 },
                }
            } else if let Some(&worker) = broken {
                Event::Failed {
                    job,
                    worker: self.workers[worker],
                }
            } else {
                self.ended.insert(job, Ended::Finished);
                Event::Finished {
                    job,
                    run_ms: self.specs[&job].1,
                }
            };
            self.policy.observe(self.now_ms, event);
            // A failure may quarantine the worker, and a success may end that; both change the plan.
            self.ledger.tolerate(self.policy.plan());
        }
    }

    pub fn decide(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let before = self.policy.plan().clone();
        self.policy.decide(self.now_ms, &mut decisions);
        for decision in &decisions {
            self.carry_out(decision);
        }
        self.ledger.check_capacity().unwrap();
        if *self.policy.plan() == before {
            self.ledger.check_reclaim(self.policy.plan()).unwrap();
        } else {
            // A quarantine that ends changes the plan under work that already runs.
            self.ledger.tolerate(self.policy.plan());
        }
        decisions
    }

    fn carry_out(&mut self, decision: &Decision) {
        match decision {
            Decision::Start { job, workers } => {
                assert!(!self.ended.contains_key(job), "a job that ended is started again");
                let (spec, run_ms) = self.specs[job].clone();
                let positions = workers
                    .iter()
                    .map(|key| self.workers.iter().position(|w| w == key).unwrap());
                self.ledger.start(*job, &spec, positions.collect()).unwrap();
                self.started.insert(*job, self.now_ms);
                self.due.insert((self.now_ms + run_ms, *job, false));
                self.policy.observe(self.now_ms, Event::Started { job: *job });
                self.starts += 1;
            }
            Decision::Preempt { job, mode } => {
                assert!(
                    self.specs[job].0.is_preemptible(),
                    "work that cannot be preempted is preempted"
                );
                self.due.retain(|entry| entry.1 != *job);
                let grace_ms = if *mode == Preemption::Checkpoint { GRACE_MS } else { 0 };
                self.due.insert((self.now_ms + grace_ms, *job, true));
                self.preempted.push((*job, *mode));
            }
            Decision::Refuse { job, refusal } => {
                let before = self.ended.insert(*job, Ended::Refused(refusal.clone()));
                assert_eq!(before, None);
                assert!(!self.ledger.held.contains_key(job), "a running job is refused");
            }
            Decision::Fail { job, reason } => {
                let before = self.ended.insert(*job, Ended::Failed(*reason));
                assert_eq!(before, None);
            }
            Decision::GuaranteeLost { .. } => self.lost += 1,
        }
    }

    /// Accelerators that an organisation holds.
    pub fn held_by(&self, organisation: &str) -> u32 {
        let held = self
            .ledger
            .held
            .values()
            .filter(|(spec, _)| spec.organisation.as_str() == organisation);
        held.map(|(spec, _)| spec.shape.accelerators()).sum()
    }
}

/// Workers of 8 slots and 8 accelerators, 4 to a rack.
pub fn topology(data_centres: usize, workers: usize) -> Topology {
    Topology::uniform(data_centres, workers, 4, Resources::new(8, 8, 32_000, 65_536))
}

/// Configuration with all data centres in service and these guarantees.
pub fn config(topology: &Topology, organisations: &[(&str, &[(Shape, u16)])]) -> Config {
    let organisations = organisations.iter().map(|(name, guarantees)| {
        let organisation = Organisation::new(name.parse().unwrap());
        guarantees.iter().fold(organisation, |organisation, &(shape, count)| {
            organisation.guarantee(Guarantee {
                shape,
                count,
                data_centre: None,
            })
        })
    });
    Config {
        organisations: organisations.collect(),
        data_centres: (topology.data_centres.iter())
            .map(|dc| DataCentreStatus {
                id: dc.id.clone(),
                in_service: true,
            })
            .collect(),
        ..Config::default()
    }
}

/// Deferred idempotent job.
pub fn job(organisation: &str, number: usize, shape: Shape) -> JobSpec {
    JobSpec::new(organisation.parse().unwrap(), format!("job-{number}").parse().unwrap())
        .shape(shape)
        .idempotent(true)
        .declared_run_ms(10_000)
}

/// Whether an organisation holds its fair part of the total, give or take one shape.
pub fn is_fair(held: u32, total: u32, weight: u32, weights: u32, shape: Shape) -> bool {
    let entitled = f64::from(total) * f64::from(weight) / f64::from(weights);
    (f64::from(held) - entitled).abs() <= f64::from(shape.accelerators())
}
