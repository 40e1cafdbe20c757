//! Measures the time of events and decisions at several numbers of running tasks on the largest topology.
//!
//! `cargo run --release -p policy --example cost`

use std::collections::VecDeque;
use std::time::Instant;

use model::{Adjacency, Class, Config, DataCentreStatus, Guarantee, JobSpec, Organisation, Resources, Shape, Topology};
use policy::{Decision, Event, GuaranteedShare, JobKey, Policy};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ORGANISATIONS: usize = 34;
const MEASURED_EVENTS: usize = 20_000;
const QUEUED_JOBS: usize = 2_000;
/// Events between two decisions, as with a scheduler that has a short tick.
const EVENTS_PER_DECISION: usize = 4;

fn config(topology: &Topology) -> Config {
    let organisations = (0..ORGANISATIONS).map(|n| {
        let organisation = Organisation::new(format!("org{n}").parse().expect("valid name")).weight(1 + n as u32 % 3);
        let guarantee = |shape, count| Guarantee {
            shape,
            count,
            data_centre: None,
        };
        organisation
            .guarantee(guarantee(Shape::new(8, 8, Adjacency::Rack), 2))
            .guarantee(guarantee(Shape::new(1, 4, Adjacency::Worker), 20))
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

/// Returns a random job, mostly of one part. `accelerators` per part sets how many tasks the topology holds.
fn spec(rng: &mut SmallRng, number: usize, accelerators: u16) -> JobSpec {
    let organisation = format!("org{}", rng.random_range(0..ORGANISATIONS))
        .parse()
        .expect("valid name");
    let shape = match rng.random_range(0..1_000) {
        0 => Shape::new(8, 8.max(accelerators), Adjacency::Rack),
        1..10 => Shape::new(4, accelerators, Adjacency::Rack),
        _ => Shape::new(1, accelerators, Adjacency::Worker),
    };
    JobSpec::new(organisation, format!("job-{number}").parse().expect("valid name"))
        .shape(shape)
        .class(if rng.random_bool(0.1) && shape.parts == 1 {
            Class::Urgent
        } else {
            Class::Deferred
        })
        .idempotent(rng.random_bool(0.8))
        .declared_run_ms(rng.random_range(1_000..600_000))
}

fn main() {
    println!("light: free capacity, no queue; full: all accelerators in use, {QUEUED_JOBS} jobs queued");
    println!(
        "{:>6} {:>8} {:>8} {:>12} {:>12} {:>12} {:>12} {:>10}",
        "load", "tasks", "queued", "event us", "decide us", "p99 us", "per start us", "RSS KiB"
    );
    for tasks in [1_000, 2_000, 5_000, 10_000, 20_000] {
        run("light", tasks, 0, 1);
    }
    for tasks in [1_000, 2_000, 5_000, 10_000, 20_000] {
        run("full", tasks, QUEUED_JOBS, (23_040 / tasks) as u16);
    }
}

fn run(load: &str, tasks: usize, queued: usize, accelerators: u16) {
    let topology = Topology::uniform(4, 960, 8, Resources::new(24, 24, 96_000, 196_608));
    let mut policy = GuaranteedShare::new(&topology);
    policy.configure(0, &config(&topology)).expect("the guarantees fit");
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut now_ms, mut number) = (0, 0);
    let mut running: VecDeque<(JobKey, u16)> = VecDeque::new();
    let mut parts_running = 0;
    let mut parts = std::collections::BTreeMap::new();
    let mut decisions = Vec::new();
    let (mut event_ns, mut decide_ns) = (0_u128, Vec::new());
    let (mut events, mut starts) = (0, 0_u32);
    while events < MEASURED_EVENTS {
        let waiting = policy.stats().queued_jobs as usize;
        let full = if queued > 0 {
            waiting >= queued
        } else {
            parts_running >= tasks
        };
        now_ms += 1;
        let is_measured = full || events > 0;
        for _ in 0..EVENTS_PER_DECISION {
            let started = Instant::now();
            let event_time = if !full || running.is_empty() || rng.random_bool(0.5) {
                number += 1;
                let spec = spec(&mut rng, number, accelerators);
                let started = Instant::now();
                let key = policy.submit(now_ms, &spec).expect("admitted");
                let elapsed = started.elapsed();
                parts.insert(key, spec.shape.parts);
                elapsed
            } else {
                let index = rng.random_range(0..running.len());
                let (job, parts_freed) = running.swap_remove_back(index).expect("in range");
                parts_running -= usize::from(parts_freed);
                parts.remove(&job);
                policy.observe(now_ms, Event::Finished { job, run_ms: 60_000 });
                started.elapsed()
            };
            if is_measured {
                event_ns += event_time.as_nanos();
                events += 1;
            }
        }
        decisions.clear();
        let started = Instant::now();
        policy.decide(now_ms, &mut decisions);
        if is_measured {
            decide_ns.push(started.elapsed().as_nanos());
        }
        for decision in &decisions {
            match *decision {
                Decision::Start { job, .. } => {
                    starts += u32::from(is_measured);
                    policy.observe(now_ms, Event::Started { job });
                    running.push_back((job, parts[&job]));
                    parts_running += usize::from(parts[&job]);
                }
                Decision::Preempt { job, .. } => {
                    policy.observe(now_ms, Event::Stopped { job, preserved_ms: 0 });
                    if let Some(index) = running.iter().position(|entry| entry.0 == job) {
                        let (_, parts_freed) = running.swap_remove_back(index).expect("in range");
                        parts_running -= usize::from(parts_freed);
                    }
                }
                _ => {}
            }
        }
    }
    decide_ns.sort_unstable();
    let mean = decide_ns.iter().sum::<u128>() as f64 / decide_ns.len() as f64 / 1e3;
    let p99 = decide_ns[decide_ns.len() * 99 / 100] as f64 / 1e3;
    println!(
        "{load:>6} {parts_running:>8} {:>8} {:>12.2} {mean:>12.2} {p99:>12.2} {:>12.2} {:>10}",
        policy.stats().queued_jobs,
        event_ns as f64 / events as f64 / 1e3,
        mean * decide_ns.len() as f64 / f64::from(starts.max(1)),
        resident_kib()
    );
}

/// Returns the resident set size of this process in KiB, or 0 if the system does not report it.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}
