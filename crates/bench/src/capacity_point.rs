use std::time::{Duration, Instant};

use model::{Adjacency, Config, JobSpec, Resources, Shape, Topology};
use policy::{Decision, Event, Policy};

use crate::{CountingAllocator, SchedulerHarness, small_config};

/// Cost of a scheduler of one data centre, and of its policy alone, at one size.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CapacityPoint {
    /// Workers of the data centre; the topology has four times as many.
    pub workers: u32,
    /// Running tasks in the data centre.
    pub tasks: u32,
    /// Live memory of the scheduler with its policy.
    pub memory_bytes: f64,
    /// Live memory of the policy alone with the same tasks.
    pub policy_memory_bytes: f64,
    /// Share of a core while tasks run and none starts or ends: ticks and renewals.
    pub steady_core_share: f64,
    /// Processor time of one job from submission to its end, without the steady share.
    pub per_job: Duration,
    /// Processor time of the policy for the same: submission, start and end.
    pub policy_per_job: Duration,
    /// Processor time of the scheduler for a changed configuration.
    pub per_configuration: Duration,
    /// Bytes per second of all renew requests, and of the reports in reply.
    pub renew_bytes_per_s: (f64, f64),
    /// Share of a core for serializing renew requests to JSON and parsing the reports.
    pub json_core_share: f64,
}

impl CapacityPoint {
    const DATA_CENTRES: usize = 4;
    const STEADY_MS: u64 = 20_000;
    const JOBS: usize = 1_000;
    const CONFIGURATIONS: u32 = 20;

    /// Measures one size; `new` creates a policy that serves the first data centre of the topology.
    ///
    /// # Panics
    ///
    /// Panics if the configuration is rejected or not all tasks start.
    pub fn measure<P: Policy>(workers: u32, tasks: u32, new: impl Fn(&Topology) -> P) -> Self {
        let capacity = Resources::new(24, 24, 96_000, 192 * 1024);
        let topology = Topology::uniform(Self::DATA_CENTRES, workers as usize * Self::DATA_CENTRES, 8, capacity);
        let configs = [small_config(&topology, 1), small_config(&topology, 2)];
        let (policy_memory_bytes, policy_per_job) = Self::measure_policy(&topology, &configs[0], &new, tasks);

        let before = CountingAllocator::live_bytes();
        let mut harness = SchedulerHarness::new(&topology, &configs[0], new(&topology));
        let organisations: Vec<_> = configs[0].organisations.iter().map(|org| org.id.clone()).collect();
        for index in 0..tasks as usize {
            harness.submit(&organisations[index % organisations.len()]);
        }
        harness.advance_time(5_000);
        assert_eq!(harness.running(), tasks as usize, "all tasks run");
        let memory_bytes = (CountingAllocator::live_bytes() - before) as f64 - harness.fake_worker_bytes();

        harness.scheduler_time = Duration::ZERO;
        harness.counts_bytes = true;
        harness.advance_time(Self::STEADY_MS);
        harness.counts_bytes = false;
        let steady_s = Self::STEADY_MS as f64 / 1_000.0;
        let steady_core_share = harness.scheduler_time.as_secs_f64() / steady_s;
        let per_s = |bytes: u64| bytes as f64 / steady_s;
        let renew_bytes_per_s = (per_s(harness.renew_bytes.0), per_s(harness.renew_bytes.1));
        let json_core_share = harness.json_time.as_secs_f64() / steady_s;

        harness.scheduler_time = Duration::ZERO;
        harness.finish(Self::JOBS);
        harness.advance_time(2_000);
        for index in 0..Self::JOBS {
            harness.submit(&organisations[index % organisations.len()]);
        }
        let steady = Duration::from_secs_f64(steady_core_share * 2.0);
        let per_job = harness.scheduler_time.saturating_sub(steady) / Self::JOBS as u32;

        harness.scheduler_time = Duration::ZERO;
        for index in 0..Self::CONFIGURATIONS {
            let mut config = configs[(index as usize + 1) % 2].clone();
            config.version = model::ConfigVersion(u64::from(index) + 10);
            harness.configure(&config);
        }
        Self {
            workers,
            tasks,
            memory_bytes,
            policy_memory_bytes,
            steady_core_share,
            per_job,
            policy_per_job,
            per_configuration: harness.scheduler_time / Self::CONFIGURATIONS,
            renew_bytes_per_s,
            json_core_share,
        }
    }

    /// Returns the live memory of the policy with `tasks` running, and the time for submission, start and end of one.
    fn measure_policy<P: Policy>(
        topology: &Topology,
        config: &Config,
        new: impl Fn(&Topology) -> P,
        tasks: u32,
    ) -> (f64, Duration) {
        let specs: Vec<JobSpec> = (0..tasks).map(|index| spec(config, index)).collect();
        let (mut jobs, mut decisions) = (Vec::with_capacity(tasks as usize), Vec::with_capacity(64));
        let before = CountingAllocator::live_bytes();
        let mut policy = new(topology);
        policy.configure(0, config).expect("the guarantees can be packed");
        for worker in topology.data_centres[0].workers() {
            let worker = policy.worker_key(&worker.id).expect("the policy knows every worker");
            policy.observe(0, Event::WorkerUp { worker });
        }
        let mut now_ms = 10_000;
        let start = Instant::now();
        for spec in &specs {
            now_ms += 1;
            policy.submit(now_ms, spec).expect("the queue has room");
            policy.decide(now_ms, &mut decisions);
            for decision in decisions.drain(..) {
                if let Decision::Start { job, .. } = decision {
                    policy.observe(now_ms, Event::Started { job });
                    jobs.push(job);
                }
            }
        }
        let starts = start.elapsed();
        let memory = (CountingAllocator::live_bytes() - before) as f64 + size_of_val(&policy) as f64;
        let ended = jobs.len().clamp(1, Self::JOBS) as u32;
        let start = Instant::now();
        for job in jobs.iter().copied().take(Self::JOBS) {
            now_ms += 1;
            policy.observe(now_ms, Event::Finished { job, run_ms: 100_000 });
            policy.decide(now_ms, &mut decisions);
        }
        (memory, starts / tasks.max(1) + start.elapsed() / ended)
    }
}

fn spec(config: &Config, index: u32) -> JobSpec {
    let organisation = &config.organisations[index as usize % config.organisations.len()];
    let request = format!("request-{index:012}")
        .parse()
        .expect("generated names are valid");
    JobSpec::new(organisation.id.clone(), request)
        .idempotent(true)
        .checkpointable(true)
        .shape(Shape::new(1, 1, Adjacency::Worker))
        .cpu_milli_per_part(1_500)
        .memory_mib_per_part(4 * 1024)
        .declared_run_ms(120_000)
}
