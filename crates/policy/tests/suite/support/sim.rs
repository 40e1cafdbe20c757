//! Simulated workers that carry out the decisions of a policy and check each of them.

use std::collections::{BTreeMap, BTreeSet};

use model::{Config, DataCentreStatus, Guarantee, JobSpec, Organisation, Refusal, Resources, Shape, Topology};
use policy::{Decision, Event, FailReason, GuaranteedShare, JobKey, PlanError, Policy, Preemption, WorkerKey};

use super::ledger::Ledger;

#[derive(Debug, Clone, PartialEq)]
pub enum FinalState {
    Finished,
    Failed(FailReason),
    Refused(Refusal),
    Removed,
}

#[derive(Debug)]
pub struct Simulation {
    pub policy: GuaranteedShare,
    pub topology: Topology,
    pub workers: Vec<WorkerKey>,
    pub ledger: Ledger,
    pub config: Config,
    pub now_ms: u64,
    pub is_up: Vec<bool>,
    /// Workers on which every job fails.
    pub failing_workers: BTreeSet<usize>,
    pub specs: BTreeMap<JobKey, (JobSpec, u64)>,
    /// Last start of each job.
    pub started_ms: BTreeMap<JobKey, u64>,
    pub final_states: BTreeMap<JobKey, FinalState>,
    pub preemptions: Vec<(JobKey, Preemption)>,
    pub start_count: u32,
    pub reported_losses: u32,
    /// When running jobs end, and whether by preemption.
    scheduled_ends: BTreeSet<(u64, JobKey, bool)>,
}

pub const CHECKPOINT_GRACE_MS: u64 = 400;

impl Simulation {
    pub fn new(topology: Topology, config: Config) -> Self {
        let mut policy = GuaranteedShare::new(&topology);
        policy.configure(0, &config).expect("the configuration fits");
        let workers: Vec<WorkerKey> = topology.workers().map(|w| policy.worker_key(&w.id).unwrap()).collect();
        let mut sim = Self {
            ledger: Ledger::new(&topology),
            is_up: vec![true; workers.len()],
            policy,
            topology,
            workers,
            config,
            now_ms: 0,
            failing_workers: BTreeSet::new(),
            specs: BTreeMap::new(),
            started_ms: BTreeMap::new(),
            final_states: BTreeMap::new(),
            preemptions: Vec::new(),
            start_count: 0,
            reported_losses: 0,
            scheduled_ends: BTreeSet::new(),
        };
        sim.update_ledger();
        sim
    }

    pub fn worker_up(&mut self, worker: usize) {
        self.is_up[worker] = true;
        let worker = self.workers[worker];
        self.policy.observe(self.now_ms, Event::WorkerUp { worker });
        self.update_ledger();
    }

    pub fn worker_down(&mut self, worker: usize) {
        self.is_up[worker] = false;
        let key = self.workers[worker];
        self.policy.observe(self.now_ms, Event::WorkerDown { worker: key });
        let held = self
            .ledger
            .held
            .iter()
            .filter(|(_, (_, workers))| workers.contains(&worker));
        for job in held.map(|(&job, _)| job).collect::<Vec<_>>() {
            self.end_run(job);
            self.policy
                .observe(self.now_ms, Event::Stopped { job, preserved_ms: 0 });
        }
        self.update_ledger();
    }

    pub fn configure(&mut self, config: Config) -> Result<(), PlanError> {
        self.policy.configure(self.now_ms, &config)?;
        self.config = config;
        self.update_ledger();
        Ok(())
    }

    fn update_ledger(&mut self) {
        let data_centre_ids = self
            .topology
            .data_centres
            .iter()
            .flat_map(|dc| dc.workers().map(|_| &dc.id));
        let serving: Vec<bool> = data_centre_ids.map(|dc| self.config.is_in_service(dc)).collect();
        self.ledger.accepts_work = serving
            .iter()
            .zip(&self.is_up)
            .map(|(serving, up)| *serving && *up)
            .collect();
        self.ledger.accept_overlap(self.policy.plan());
        self.ledger
            .check_plan(self.policy.plan(), &self.ledger.accepts_work)
            .unwrap();
    }

    pub fn submit(&mut self, spec: &JobSpec, run_ms: u64) -> Result<JobKey, Refusal> {
        let key = self.policy.submit(self.now_ms, spec)?;
        self.specs.insert(key, (spec.clone(), run_ms));
        Ok(key)
    }

    pub fn cancel(&mut self, job: JobKey) {
        if !self.final_states.contains_key(&job) {
            self.end_run(job);
            self.policy.observe(self.now_ms, Event::Removed { job });
            self.final_states.insert(job, FinalState::Removed);
        }
    }

    fn end_run(&mut self, job: JobKey) {
        self.ledger.release(job);
        self.scheduled_ends.retain(|entry| entry.1 != job);
    }

    /// Advances the clock to `until_ms`, with a round of decisions every `step_ms`.
    pub fn run_until(&mut self, until_ms: u64, step_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += step_ms;
            self.process_due_ends();
            self.decide();
        }
    }

    pub fn process_due_ends(&mut self) {
        while let Some(&(at, job, stopped)) = self.scheduled_ends.first()
            && at <= self.now_ms
        {
            let workers = self.ledger.held[&job].1.clone();
            self.end_run(job);
            let failing_worker = workers.iter().find(|worker| self.failing_workers.contains(worker));
            let event = if stopped {
                let preserved = self.specs[&job].0.checkpointable;
                let run_ms = self.now_ms - self.started_ms[&job];
                Event::Stopped {
                    job,
                    preserved_ms: if preserved { run_ms } else { 0 },
                }
            } else if let Some(&worker) = failing_worker {
                Event::Failed {
                    job,
                    worker: self.workers[worker],
                }
            } else {
                self.final_states.insert(job, FinalState::Finished);
                Event::Finished {
                    job,
                    run_ms: self.specs[&job].1,
                }
            };
            self.policy.observe(self.now_ms, event);
            // A failure may quarantine the worker and a success may end the quarantine; both change the plan.
            self.ledger.accept_overlap(self.policy.plan());
        }
    }

    pub fn decide(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let before = self.policy.plan().clone();
        self.policy.decide(self.now_ms, &mut decisions);
        for decision in &decisions {
            self.apply_decision(decision);
        }
        self.ledger.check_capacity().unwrap();
        if *self.policy.plan() == before {
            self.ledger.check_reclaim(self.policy.plan()).unwrap();
        } else {
            // The end of a quarantine changes the plan while work already runs.
            self.ledger.accept_overlap(self.policy.plan());
        }
        decisions
    }

    fn apply_decision(&mut self, decision: &Decision) {
        match decision {
            Decision::Start { job, workers } => {
                assert!(
                    !self.final_states.contains_key(job),
                    "a job that ended is started again"
                );
                let (spec, run_ms) = self.specs[job].clone();
                let positions = workers
                    .iter()
                    .map(|key| self.workers.iter().position(|w| w == key).unwrap());
                self.ledger.start(*job, &spec, positions.collect()).unwrap();
                self.started_ms.insert(*job, self.now_ms);
                self.scheduled_ends.insert((self.now_ms + run_ms, *job, false));
                self.policy.observe(self.now_ms, Event::Started { job: *job });
                self.start_count += 1;
            }
            Decision::Preempt { job, mode } => {
                assert!(
                    self.specs[job].0.is_preemptible(),
                    "work that cannot be preempted is preempted"
                );
                self.scheduled_ends.retain(|entry| entry.1 != *job);
                let grace_ms = if *mode == Preemption::Checkpoint {
                    CHECKPOINT_GRACE_MS
                } else {
                    0
                };
                self.scheduled_ends.insert((self.now_ms + grace_ms, *job, true));
                self.preemptions.push((*job, *mode));
            }
            Decision::Refuse { job, refusal } => {
                let before = self.final_states.insert(*job, FinalState::Refused(refusal.clone()));
                assert_eq!(before, None);
                assert!(!self.ledger.held.contains_key(job), "a running job is refused");
            }
            Decision::Fail { job, reason } => {
                let before = self.final_states.insert(*job, FinalState::Failed(*reason));
                assert_eq!(before, None);
            }
            Decision::GuaranteeLost { .. } => self.reported_losses += 1,
        }
    }

    /// Returns the number of accelerators that an organisation holds.
    pub fn held_by(&self, organisation: &str) -> u32 {
        let held = self
            .ledger
            .held
            .values()
            .filter(|(spec, _)| spec.organisation.as_str() == organisation);
        held.map(|(spec, _)| spec.shape.accelerators()).sum()
    }
}

/// Creates workers of 8 slots and 8 accelerators, 4 to a rack.
pub fn topology(data_centres: usize, workers: usize) -> Topology {
    Topology::uniform(data_centres, workers, 4, Resources::new(8, 8, 32_000, 65_536))
}

/// Creates a configuration with all data centres in service and these guarantees.
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

/// Creates a deferred idempotent job.
pub fn job(organisation: &str, number: usize, shape: Shape) -> JobSpec {
    JobSpec::new(organisation.parse().unwrap(), format!("job-{number}").parse().unwrap())
        .shape(shape)
        .idempotent(true)
        .declared_run_ms(10_000)
}

/// Returns whether an organisation holds its fair share of the total, within one shape.
pub fn is_fair(held: u32, total: u32, weight: u32, weights: u32, shape: Shape) -> bool {
    let entitled = f64::from(total) * f64::from(weight) / f64::from(weights);
    (f64::from(held) - entitled).abs() <= f64::from(shape.accelerators())
}
