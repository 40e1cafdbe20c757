use std::time::{Duration, Instant};

use model::{Adjacency, Class, Config, JobSpec, Shape, Topology};
use policy::{Decision, Event, JobKey, Policy};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Cost of one decision at a number of running tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopePoint {
    /// Running tasks at the start of the measurement.
    pub tasks: u32,
    /// Waiting jobs at the start of the measurement.
    pub waiting: u32,
    /// Mean time in the policy for the end of one task, the arrival of another, and the resulting starts.
    pub per_turn: Duration,
    /// 99th percentile of the same.
    pub per_turn_p99: Duration,
}

impl SlopePoint {
    const TURNS: u32 = 4_000;
    /// Turns at the start that are not counted, since caches are still cold.
    const WARM_UP: u32 = 500;

    /// Measures `policy` with `tasks` running and `waiting` more jobs submitted.
    ///
    /// One turn is the end of a random running task, a call of `decide`, the arrival of a task of a random
    /// organisation, another call of `decide`, and the report of each start and stop.
    ///
    /// # Panics
    ///
    /// Panics if the policy rejects the configuration or does not know a worker.
    pub fn measure<P: Policy>(
        mut policy: P,
        (topology, config): (&Topology, &Config),
        (tasks, waiting): (u32, u32),
        seed: u64,
    ) -> Self {
        policy.configure(0, config).expect("the guarantees can be packed");
        for worker in topology.workers() {
            let worker = policy.worker_key(&worker.id).expect("the policy knows every worker");
            policy.observe(0, Event::WorkerUp { worker });
        }
        let mut rng = StdRng::seed_from_u64(seed);
        let mut generator = LoadGenerator {
            policy,
            running: Vec::new(),
            decisions: Vec::new(),
            now_ms: 10_000,
            submitted: 0,
            policy_time: Duration::ZERO,
        };
        let organisations: Vec<_> = config.organisations.iter().map(|org| org.id.clone()).collect();
        let submit = |generator: &mut LoadGenerator<P>| {
            let spec = generator.spec(&organisations[generator.submitted as usize % organisations.len()]);
            generator.arrive(&spec);
        };
        while generator.running.len() < tasks as usize && generator.submitted < tasks * 2 {
            submit(&mut generator);
        }
        for _ in 0..waiting {
            submit(&mut generator);
        }
        let stats = generator.policy.stats();
        let mut turns = Vec::new();
        for turn in 0..Self::WARM_UP + Self::TURNS {
            let spec = generator.spec(&organisations[rng.random_range(0..organisations.len())]);
            let index = rng.random_range(0..generator.running.len().max(1));
            generator.policy_time = Duration::ZERO;
            generator.finish(index);
            generator.arrive(&spec);
            if turn >= Self::WARM_UP {
                turns.push(generator.policy_time);
            }
        }
        turns.sort_unstable();
        Self {
            tasks: stats.running_jobs,
            waiting: stats.queued_jobs,
            per_turn: turns.iter().sum::<Duration>() / Self::TURNS,
            per_turn_p99: turns[turns.len() * 99 / 100],
        }
    }
}

struct LoadGenerator<P> {
    policy: P,
    running: Vec<JobKey>,
    decisions: Vec<Decision>,
    now_ms: u64,
    submitted: u32,
    /// Time spent in the policy.
    policy_time: Duration,
}

impl<P: Policy> LoadGenerator<P> {
    fn spec(&mut self, organisation: &model::OrganisationId) -> JobSpec {
        self.submitted += 1;
        let request = format!("r{}", self.submitted)
            .parse()
            .expect("generated names are valid");
        JobSpec::new(organisation.clone(), request)
            .class(Class::Deferred)
            .idempotent(true)
            .checkpointable(true)
            .shape(Shape::new(1, 1, Adjacency::Worker))
            .cpu_milli_per_part(1_500)
            .memory_mib_per_part(4 * 1024)
            .declared_run_ms(120_000)
    }

    fn timed<R>(&mut self, call: impl FnOnce(&mut P) -> R) -> R {
        let start = Instant::now();
        let result = call(&mut self.policy);
        self.policy_time += start.elapsed();
        result
    }

    fn arrive(&mut self, spec: &JobSpec) {
        let now_ms = self.now_ms;
        // A job that a full queue refuses is skipped; the caller reads the job counts from the policy.
        if self.timed(|policy| policy.submit(now_ms, spec)).is_ok() {
            self.decide();
        }
    }

    fn finish(&mut self, index: usize) {
        if index < self.running.len() {
            let job = self.running.swap_remove(index);
            self.observe(Event::Finished { job, run_ms: 100_000 });
            self.decide();
        }
    }

    fn observe(&mut self, event: Event) {
        let now_ms = self.now_ms;
        self.timed(|policy| policy.observe(now_ms, event));
    }

    fn decide(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        let mut decisions = std::mem::take(&mut self.decisions);
        self.timed(|policy| policy.decide(now_ms, &mut decisions));
        for decision in decisions.drain(..) {
            match decision {
                Decision::Start { job, .. } => {
                    self.observe(Event::Started { job });
                    self.running.push(job);
                }
                Decision::Preempt { job, .. } => {
                    self.running.retain(|other| *other != job);
                    self.observe(Event::Stopped { job, preserved_ms: 0 });
                }
                _ => {}
            }
        }
        self.decisions = decisions;
    }
}
