//! Discrete-event simulation of arrivals and of workers that finish, fail and checkpoint tasks.

mod apply;
mod completion;
mod fleet;
mod grants;
mod measurement;
mod record;
mod scheduled_event;

use std::{collections::BinaryHeap, time::Instant};

use model::Config;
use policy::{Event, JobKey, Policy, WorkerKey};
use slotmap::SecondaryMap;

use self::{
    fleet::Fleet,
    grants::Grants,
    measurement::OrganisationDemand,
    record::{JobOutcome, JobRecord, State},
    scheduled_event::{ScheduledEvent, SimulationEvent},
};
use crate::{Arrival, Incident, JobKind, Metrics, Scenario};

/// Discrete-event simulation that runs one policy on one scenario in virtual time.
#[derive(Debug)]
pub struct Simulation<'a, P> {
    policy: P,
    scenario: &'a Scenario,
    config: Config,
    fleet: Fleet,
    records: Vec<JobRecord>,
    by_key: SecondaryMap<JobKey, u32>,
    worker_keys: Vec<WorkerKey>,
    worker_index: SecondaryMap<WorkerKey, u32>,
    queue: BinaryHeap<ScheduledEvent>,
    next_number: u64,
    next_arrival: usize,
    live: usize,
    grants: Grants,
    demand: OrganisationDemand,
    metrics: Metrics,
    now_ms: u64,
}

impl<'a, P: Policy> Simulation<'a, P> {
    /// Interval of the calls of `decide` that no other event triggers.
    const TICK_MS: u64 = 100;
    /// Tick interval after the last arrival.
    const DRAIN_TICK_MS: u64 = 1_000;
    const SAMPLE_MS: u64 = 1_000;
    /// Time until an unresponsive worker is detected.
    const DETECTION_MS: u64 = 2_000;
    /// Time until the leases on a crashed worker have expired.
    const LEASE_EXPIRY_MS: u64 = 5_000;

    /// Creates a simulation and configures the policy.
    ///
    /// # Panics
    ///
    /// Panics if the policy does not know the scenario's workers or rejects its configuration.
    pub fn new(scenario: &'a Scenario, mut policy: P) -> Self {
        let config = scenario.config.clone();
        policy
            .configure(0, &config)
            .expect("the scenario's guarantees can be packed");
        let worker_key = |worker: &model::Worker| policy.worker_key(&worker.id).expect("the policy knows every worker");
        let worker_keys: Vec<WorkerKey> = scenario.topology.workers().map(worker_key).collect();
        for worker in worker_keys.iter().copied() {
            policy.observe(0, Event::WorkerUp { worker });
        }
        let worker_index = worker_keys
            .iter()
            .enumerate()
            .map(|(index, key)| (*key, index as u32))
            .collect();
        Self {
            policy,
            scenario,
            fleet: Fleet::new(&scenario.topology),
            records: vec![JobRecord::default(); scenario.arrivals.len()],
            by_key: SecondaryMap::new(),
            worker_keys,
            worker_index,
            queue: BinaryHeap::new(),
            next_number: 0,
            next_arrival: 0,
            live: 0,
            grants: Grants::default(),
            demand: OrganisationDemand::new(scenario),
            config,
            metrics: Metrics::new(),
            now_ms: 0,
        }
    }

    /// Runs the scenario to its end and returns the measurements.
    pub fn run(mut self) -> Metrics {
        let end_ms = self.scenario.workload.horizon_ms + self.scenario.workload.drain_ms;
        for (index, (at_ms, _)) in self.scenario.incidents.iter().enumerate() {
            self.push(*at_ms, SimulationEvent::Incident(index as u32));
        }
        self.push(0, SimulationEvent::Tick);
        self.push(0, SimulationEvent::Sample);
        self.push_next_arrival();
        let mut decisions = Vec::new();
        while let Some(first) = self.queue.pop() {
            self.now_ms = first.at_ms;
            let all_ended = self.live == 0 && self.next_arrival == self.scenario.arrivals.len();
            if all_ended && self.now_ms > self.scenario.workload.horizon_ms || self.now_ms > end_ms {
                break;
            }
            self.handle(first.event);
            let now_ms = self.now_ms;
            self.timed_call(|policy| policy.decide(now_ms, &mut decisions));
            for decision in decisions.drain(..) {
                self.apply(decision);
            }
        }
        self.close();
        self.metrics
    }

    fn push(&mut self, at_ms: u64, event: SimulationEvent) {
        self.next_number += 1;
        let number = self.next_number;
        self.queue.push(ScheduledEvent { at_ms, number, event });
    }

    fn push_next_arrival(&mut self) {
        if let Some(arrival) = self.scenario.arrivals.get(self.next_arrival) {
            self.push(arrival.at_ms, SimulationEvent::Arrive(self.next_arrival as u32));
        }
    }

    /// Calls the policy and adds the elapsed time to the metrics.
    fn timed_call<R>(&mut self, call: impl FnOnce(&mut P) -> R) -> R {
        let start = Instant::now();
        let result = call(&mut self.policy);
        self.metrics.policy_time += start.elapsed();
        self.metrics.calls += 1;
        result
    }

    fn observe(&mut self, event: Event) {
        let now_ms = self.now_ms;
        self.timed_call(|policy| policy.observe(now_ms, event));
    }

    fn arrival(&self, job: u32) -> &'a Arrival {
        &self.scenario.arrivals[job as usize]
    }

    /// Returns a pseudo-random number that depends only on seed, job, attempt and purpose, so that all policies get the
    /// same random outcomes.
    fn random_for(&self, job: u32, purpose: u64) -> u64 {
        let attempt = u64::from(self.records[job as usize].attempt);
        let mut x = self.scenario.seed ^ (u64::from(job) << 24) ^ (attempt << 8) ^ purpose;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// Returns whether `attempt` is the current attempt of the job and the job is in one of `states`.
    fn is_current(&self, job: u32, attempt: u32, states: &[State]) -> bool {
        let record = &self.records[job as usize];
        record.attempt == attempt && states.contains(&record.state)
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive(job) => {
                self.next_arrival = job as usize + 1;
                self.push_next_arrival();
                self.arrive(job);
            }
            SimulationEvent::Cancel(job) => self.cancel(job),
            SimulationEvent::Started(job, attempt) => self.on_started(job, attempt),
            SimulationEvent::NotStarted(job, attempt, worker) => self.on_not_started(job, attempt, worker),
            SimulationEvent::Finish(job, attempt) => self.on_finish(job, attempt),
            SimulationEvent::Fail(job, attempt, worker) => self.on_fail(job, attempt, worker),
            SimulationEvent::Stopped(job, attempt, preserved_ms) => self.on_stopped(job, attempt, preserved_ms),
            SimulationEvent::Retry(job) => self.run_urgent(job),
            SimulationEvent::Incident(index) => self.on_incident(self.scenario.incidents[index as usize].1),
            SimulationEvent::CrashDetected(worker) => {
                self.fleet.known_down[worker as usize] = true;
                self.release_grants_on(worker);
                let worker = self.worker_keys[worker as usize];
                self.observe(Event::WorkerDown { worker });
            }
            SimulationEvent::Tick => {
                self.adjust_grants();
                let draining = self.now_ms > self.scenario.workload.horizon_ms;
                let interval_ms = if draining { Self::DRAIN_TICK_MS } else { Self::TICK_MS };
                self.push(self.now_ms + interval_ms, SimulationEvent::Tick);
            }
            SimulationEvent::Sample => {
                self.sample();
                if self.now_ms < self.scenario.workload.horizon_ms {
                    self.push(self.now_ms + Self::SAMPLE_MS, SimulationEvent::Sample);
                }
            }
        }
    }

    fn arrive(&mut self, job: u32) {
        let arrival = self.arrival(job);
        self.live += 1;
        if let Some(cancel_at_ms) = arrival.cancel_at_ms {
            self.push(cancel_at_ms, SimulationEvent::Cancel(job));
        }
        if arrival.kind == JobKind::Urgent {
            self.run_urgent(job);
            return;
        }
        if arrival.kind == JobKind::Owner {
            self.record_guaranteed_demand(job);
        }
        self.submit(job);
    }

    fn submit(&mut self, job: u32) {
        let arrival = self.arrival(job);
        let now_ms = self.now_ms;
        match self.timed_call(|policy| policy.submit(now_ms, &arrival.spec)) {
            Ok(key) => {
                self.metrics.violations.wrong_admissions += u64::from(arrival.never_fits);
                self.by_key.insert(key, job);
                let record = &mut self.records[job as usize];
                record.key = Some(key);
                record.state = State::Queued;
                self.demand.add(job);
            }
            Err(refusal) => {
                let never_fits = matches!(refusal, model::Refusal::NeverFits { .. });
                self.metrics.violations.wrong_admissions += u64::from(never_fits != arrival.never_fits && never_fits);
                self.end_job(job, JobOutcome::Refused);
            }
        }
    }

    fn on_incident(&mut self, incident: Incident) {
        match incident {
            Incident::DataCentre { index, in_service } => {
                self.fleet.in_service[index] = in_service;
                self.config.data_centres[index].in_service = in_service;
                self.config.version = self.config.version.next();
                let (now_ms, config) = (self.now_ms, self.config.clone());
                // If the guarantees cannot be packed, the policy keeps the former configuration; the check for starts
                // in data centres out of service then reports it.
                let rejected = self.timed_call(|policy| policy.configure(now_ms, &config)).is_err();
                self.metrics.rejected_configurations += u64::from(rejected);
                self.release_grants_out_of_service();
            }
            Incident::WorkerCrashes { worker } => self.on_worker_crash(worker),
            Incident::WorkerRestarts { worker } => {
                self.fleet.alive[worker as usize] = true;
                self.fleet.known_down[worker as usize] = false;
                let worker = self.worker_keys[worker as usize];
                self.observe(Event::WorkerUp { worker });
            }
            Incident::WorkerBroken { worker, broken } => self.fleet.broken[worker as usize] = broken,
        }
    }
}
