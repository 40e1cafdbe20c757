use std::time::{Duration, Instant};

use model::{Adjacency, Class, JobSpec, Shape};
use policy::{Decision, Event, JobKey, Policy};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::Deployment;

/// Cost of one decision at a number of running tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopePoint {
    /// Running tasks while the cost was measured.
    pub tasks: u32,
    /// Mean time for the end of one task, the arrival of another and its start.
    pub per_turn: Duration,
    /// 99th percentile of the same.
    pub per_turn_p99: Duration,
    /// Time for the arrival and start of one task while the cluster was filled to this point, mean of the last 500.
    pub per_fill: Duration,
}

impl SlopePoint {
    const TURNS: u32 = 4_000;
    const TICK_MS: u64 = 1;

    /// Measures `policy` with `tasks` running on the topology of the design scale.
    ///
    /// One turn is the end of a random running task, a call of `decide`, the arrival of a new task of a random
    /// organisation, another call of `decide`, and the report of each start.
    ///
    /// # Panics
    ///
    /// Panics if the policy rejects the configuration or does not know a worker.
    pub fn measure<P: Policy>(mut policy: P, tasks: u32, seed: u64) -> Self {
        let (topology, config) = (Deployment::Letter.topology(), Deployment::Letter.config());
        policy.configure(0, &config).expect("the guarantees can be packed");
        for worker in topology.workers() {
            let worker = policy.worker_key(&worker.id).expect("the policy knows every worker");
            policy.observe(0, Event::WorkerUp { worker });
        }
        let mut rng = StdRng::seed_from_u64(seed);
        let mut load = Load {
            policy,
            running: Vec::new(),
            decisions: Vec::new(),
            now_ms: 10_000,
            next: 0,
        };
        let organisations: Vec<_> = config.organisations.iter().map(|org| org.id.clone()).collect();
        let mut fills = Vec::new();
        while load.running.len() < tasks as usize && load.next < tasks * 2 {
            let spec = load.spec(&organisations[load.next as usize % organisations.len()]);
            let start = Instant::now();
            load.arrive(&spec);
            fills.push(start.elapsed());
        }
        let running = load.running.len() as u32;
        let mut turns = Vec::new();
        for _ in 0..Self::TURNS {
            let spec = load.spec(&organisations[rng.random_range(0..organisations.len())]);
            let index = rng.random_range(0..load.running.len().max(1));
            let start = Instant::now();
            load.finish(index);
            load.arrive(&spec);
            turns.push(start.elapsed());
        }
        turns.sort_unstable();
        let last = &fills[fills.len().saturating_sub(500)..];
        Self {
            tasks: running,
            per_turn: turns.iter().sum::<Duration>() / Self::TURNS,
            per_turn_p99: turns[turns.len() * 99 / 100],
            per_fill: last.iter().sum::<Duration>() / last.len().max(1) as u32,
        }
    }
}

struct Load<P> {
    policy: P,
    running: Vec<JobKey>,
    decisions: Vec<Decision>,
    now_ms: u64,
    next: u32,
}

impl<P: Policy> Load<P> {
    fn spec(&mut self, organisation: &model::OrganisationId) -> JobSpec {
        self.next += 1;
        let request = format!("r{}", self.next).parse().expect("generated names are valid");
        JobSpec::new(organisation.clone(), request)
            .class(Class::Deferred)
            .idempotent(true)
            .checkpointable(true)
            .shape(Shape::new(1, 1, Adjacency::Worker))
            .cpu_milli_per_part(1_500)
            .memory_mib_per_part(4 * 1024)
            .declared_run_ms(120_000)
    }

    fn arrive(&mut self, spec: &JobSpec) {
        // A full queue or quota leaves the job out; the caller counts what runs.
        if self.policy.submit(self.now_ms, spec).is_ok() {
            self.decide();
        }
    }

    fn finish(&mut self, index: usize) {
        if index < self.running.len() {
            let job = self.running.swap_remove(index);
            self.policy
                .observe(self.now_ms, Event::Finished { job, run_ms: 100_000 });
            self.decide();
        }
    }

    fn decide(&mut self) {
        self.now_ms += SlopePoint::TICK_MS;
        self.policy.decide(self.now_ms, &mut self.decisions);
        for decision in self.decisions.drain(..) {
            if let Decision::Start { job, .. } = decision {
                self.policy.observe(self.now_ms, Event::Started { job });
                self.running.push(job);
            }
        }
    }
}
