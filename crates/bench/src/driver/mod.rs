//! Queue of timed arrivals and fake workers that finish, fail and checkpoint.

mod apply;
mod ends;
mod fleet;
mod grants;
mod measure;
mod record;
mod timed;

use std::{collections::BinaryHeap, time::Instant};

use model::Config;
use policy::{Event, JobKey, Policy, WorkerKey};
use slotmap::SecondaryMap;

use self::{
    fleet::Fleet,
    grants::Grants,
    measure::Waiting,
    record::{End, Record, State},
    timed::{Due, Timed},
};
use crate::{Arrival, Incident, JobKind, Metrics, Scenario};

/// Runs one policy over one scenario in virtual time.
#[derive(Debug)]
pub struct Driver<'a, P> {
    policy: P,
    scenario: &'a Scenario,
    config: Config,
    fleet: Fleet,
    records: Vec<Record>,
    by_key: SecondaryMap<JobKey, u32>,
    worker_keys: Vec<WorkerKey>,
    worker_index: SecondaryMap<WorkerKey, u32>,
    queue: BinaryHeap<Timed>,
    next_number: u64,
    next_arrival: usize,
    live: usize,
    grants: Grants,
    waiting: Waiting,
    metrics: Metrics,
    now_ms: u64,
}

impl<'a, P: Policy> Driver<'a, P> {
    /// Interval of calls of `decide` without an event.
    const TICK_MS: u64 = 100;
    /// The same once the arrivals are over.
    const DRAIN_TICK_MS: u64 = 1_000;
    const SAMPLE_MS: u64 = 1_000;
    /// Time after which the silence of a worker is noticed.
    const NOTICE_MS: u64 = 2_000;
    /// Time after which the leases at a dead worker have expired.
    const LEASE_MS: u64 = 5_000;

    /// Creates a driver.
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
            records: vec![Record::default(); scenario.arrivals.len()],
            by_key: SecondaryMap::new(),
            worker_keys,
            worker_index,
            queue: BinaryHeap::new(),
            next_number: 0,
            next_arrival: 0,
            live: 0,
            grants: Grants::default(),
            waiting: Waiting::new(scenario),
            config,
            metrics: Metrics::new(),
            now_ms: 0,
        }
    }

    /// Runs to the end and returns the measurements.
    pub fn run(mut self) -> Metrics {
        let end_ms = self.scenario.workload.horizon_ms + self.scenario.workload.drain_ms;
        for (index, (at_ms, _)) in self.scenario.incidents.iter().enumerate() {
            self.push(*at_ms, Due::Incident(index as u32));
        }
        self.push(0, Due::Tick);
        self.push(0, Due::Sample);
        self.push_next_arrival();
        let mut decisions = Vec::new();
        while let Some(first) = self.queue.pop() {
            self.now_ms = first.at_ms;
            let over = self.live == 0 && self.next_arrival == self.scenario.arrivals.len();
            if over && self.now_ms > self.scenario.workload.horizon_ms || self.now_ms > end_ms {
                break;
            }
            self.handle(first.due);
            let now_ms = self.now_ms;
            self.timed(|policy| policy.decide(now_ms, &mut decisions));
            for decision in decisions.drain(..) {
                self.apply(decision);
            }
        }
        self.close();
        self.metrics
    }

    fn push(&mut self, at_ms: u64, due: Due) {
        self.next_number += 1;
        let number = self.next_number;
        self.queue.push(Timed { at_ms, number, due });
    }

    fn push_next_arrival(&mut self) {
        if let Some(arrival) = self.scenario.arrivals.get(self.next_arrival) {
            self.push(arrival.at_ms, Due::Arrive(self.next_arrival as u32));
        }
    }

    /// Calls the policy and measures the time.
    fn timed<R>(&mut self, call: impl FnOnce(&mut P) -> R) -> R {
        let start = Instant::now();
        let result = call(&mut self.policy);
        self.metrics.policy_time += start.elapsed();
        self.metrics.calls += 1;
        result
    }

    fn observe(&mut self, event: Event) {
        let now_ms = self.now_ms;
        self.timed(|policy| policy.observe(now_ms, event));
    }

    fn arrival(&self, job: u32) -> &'a Arrival {
        &self.scenario.arrivals[job as usize]
    }

    /// Returns a number that depends on seed, job, attempt and purpose only, so that all policies meet the same luck.
    fn chance(&self, job: u32, purpose: u64) -> u64 {
        let attempt = u64::from(self.records[job as usize].attempt);
        let mut x = self.scenario.seed ^ (u64::from(job) << 24) ^ (attempt << 8) ^ purpose;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// Returns whether the event belongs to the current attempt of a job in one of these states.
    fn is_current(&self, job: u32, attempt: u32, states: &[State]) -> bool {
        let record = &self.records[job as usize];
        record.attempt == attempt && states.contains(&record.state)
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Arrive(job) => {
                self.next_arrival = job as usize + 1;
                self.push_next_arrival();
                self.arrive(job);
            }
            Due::Cancel(job) => self.cancel(job),
            Due::Started(job, attempt) => self.on_started(job, attempt),
            Due::NotStarted(job, attempt, worker) => self.on_not_started(job, attempt, worker),
            Due::Finish(job, attempt) => self.on_finish(job, attempt),
            Due::Fail(job, attempt, worker) => self.on_fail(job, attempt, worker),
            Due::Stopped(job, attempt, preserved_ms) => self.on_stopped(job, attempt, preserved_ms),
            Due::Retry(job) => self.run_urgent(job),
            Due::Incident(index) => self.on_incident(self.scenario.incidents[index as usize].1),
            Due::NoticeDown(worker) => {
                self.fleet.known_down[worker as usize] = true;
                self.drop_grants_on(worker);
                let worker = self.worker_keys[worker as usize];
                self.observe(Event::WorkerDown { worker });
            }
            Due::Tick => {
                self.fill_grants();
                let draining = self.now_ms > self.scenario.workload.horizon_ms;
                let interval_ms = if draining { Self::DRAIN_TICK_MS } else { Self::TICK_MS };
                self.push(self.now_ms + interval_ms, Due::Tick);
            }
            Due::Sample => {
                self.sample();
                if self.now_ms < self.scenario.workload.horizon_ms {
                    self.push(self.now_ms + Self::SAMPLE_MS, Due::Sample);
                }
            }
        }
    }

    fn arrive(&mut self, job: u32) {
        let arrival = self.arrival(job);
        self.live += 1;
        if let Some(cancel_at_ms) = arrival.cancel_at_ms {
            self.push(cancel_at_ms, Due::Cancel(job));
        }
        if arrival.kind == JobKind::Urgent {
            self.run_urgent(job);
            return;
        }
        if arrival.kind == JobKind::Owner {
            self.note_demand(job);
        }
        self.submit(job);
    }

    fn submit(&mut self, job: u32) {
        let arrival = self.arrival(job);
        let now_ms = self.now_ms;
        match self.timed(|policy| policy.submit(now_ms, &arrival.spec)) {
            Ok(key) => {
                self.metrics.violations.wrong_admissions += u64::from(arrival.never_fits);
                self.by_key.insert(key, job);
                let record = &mut self.records[job as usize];
                record.key = Some(key);
                record.state = State::Queued;
                self.waiting.add(job);
            }
            Err(refusal) => {
                let never_fits = matches!(refusal, model::Refusal::NeverFits { .. });
                self.metrics.violations.wrong_admissions += u64::from(never_fits != arrival.never_fits && never_fits);
                self.end(job, End::Refused);
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
                // A plan that cannot be packed keeps the former configuration; the check on starts then shows it.
                let rejected = self.timed(|policy| policy.configure(now_ms, &config)).is_err();
                self.metrics.rejected_configurations += u64::from(rejected);
                self.drop_idle_grants_out_of_service();
            }
            Incident::WorkerDies { worker } => self.on_worker_dies(worker),
            Incident::WorkerReturns { worker } => {
                self.fleet.alive[worker as usize] = true;
                self.fleet.known_down[worker as usize] = false;
                let worker = self.worker_keys[worker as usize];
                self.observe(Event::WorkerUp { worker });
            }
            Incident::WorkerBroken { worker, broken } => self.fleet.broken[worker as usize] = broken,
        }
    }
}
