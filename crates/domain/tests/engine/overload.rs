//! Load beyond the capacity of all workers, and which work it delays.

use std::collections::BTreeMap;

use compact_str::CompactString;
use domain::{Job, JobState};

use crate::simulation::{Simulation, job, step};

/// Work that was submitted, and when it was done.
struct Submitted {
    job: Job,
    at_ms: u64,
    done_ms: Option<u64>,
}

impl Submitted {
    fn estimate_ms(&self) -> u64 {
        self.job.steps[0].estimate_ms
    }

    fn work(&self) -> u64 {
        let shape = &self.job.steps[0];
        shape.estimate_ms * shape.need.accelerators * u64::from(shape.count)
    }

    fn objective_ms(&self) -> u64 {
        (self.job.objective_factor * self.estimate_ms() as f64) as u64 + self.job.objective_ms
    }

    fn is_done_within(&self, factor: u64) -> bool {
        let limit_ms = self.at_ms + factor * self.objective_ms();
        self.done_ms.is_some_and(|done_ms| done_ms <= limit_ms)
    }
}

/// Number of jobs, and of those in time and late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Outcomes {
    all: usize,
    in_time: usize,
    late: usize,
}

impl Outcomes {
    fn of<'a>(jobs: impl Iterator<Item = &'a Submitted>) -> Self {
        jobs.fold(Self::default(), |sum, job| Self {
            all: sum.all + 1,
            in_time: sum.in_time + usize::from(job.is_done_within(1)),
            late: sum.late + usize::from(job.is_done_within(3) && !job.is_done_within(1)),
        })
    }

    fn served_share(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.all as f64
    }
}

/// Simulation that records when each job is done.
struct Recording {
    sim: Simulation,
    jobs: BTreeMap<CompactString, Submitted>,
}

impl Recording {
    /// Starts four workers with eight accelerators each.
    fn new() -> Self {
        Self {
            sim: Simulation::weighing_delays(1, 4),
            jobs: BTreeMap::new(),
        }
    }

    fn submit(&mut self, job: Job) -> CompactString {
        let id = self.sim.submit(job.clone());
        let submitted = Submitted {
            job,
            at_ms: self.sim.now_ms,
            done_ms: None,
        };
        self.jobs.insert(id.clone(), submitted);
        id
    }

    fn run_for(&mut self, ms: u64) {
        let until_ms = self.sim.now_ms + ms;
        while self.sim.now_ms < until_ms {
            self.sim.run_for(Simulation::STEP_MS);
            let now_ms = self.sim.now_ms;
            for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.done_ms.is_none()) {
                job.done_ms = (self.sim.state(id) == JobState::Done).then_some(now_ms);
            }
        }
    }

    fn run_until_done(&mut self, most_ms: u64) {
        let until_ms = self.sim.now_ms + most_ms;
        while self.sim.now_ms < until_ms && self.jobs.values().any(|job| job.done_ms.is_none()) {
            self.run_for(Simulation::STEP_MS);
        }
    }

    fn outcomes(&self, filter: impl Fn(&Submitted) -> bool) -> Outcomes {
        Outcomes::of(self.jobs.values().filter(|job| filter(job)))
    }
}

/// Returns a job of an organisation without a guarantee.
fn unguaranteed(id: &str, priority: u32, accelerators: u64, estimate_ms: u64) -> Job {
    let mut job = job(id, priority, step(1, accelerators, estimate_ms));
    job.organisation = "tay".into();
    job
}

/// Guards against long work that takes all workers because its latest start comes first, so that much short work, which
/// would fit before, is late (a burst of long work before much short work).
#[test]
fn burst_of_long_work_before_much_short_work() {
    let mut load = Recording::new();
    for number in 0..4 {
        load.submit(unguaranteed(&format!("a{number}"), 1, 8, 1_000));
    }
    for number in 0..8 {
        let mut long = unguaranteed(&format!("b{number}"), 1, 8, 4_000);
        long.objective_factor = 1.0;
        long.objective_ms = 1_600;
        load.submit(long);
    }
    load.run_for(200);
    for number in 0..24 {
        load.submit(unguaranteed(&format!("c{number:02}"), 1, 2, 400));
    }
    load.run_until_done(60_000);
    let short = load.outcomes(|job| job.estimate_ms() == 400);
    assert_eq!(short.all, 24);
    assert!(short.in_time >= 20, "{short:?}");
    assert!(load.jobs.values().all(|job| job.done_ms.is_some()));
    load.sim.assert_no_violations();
}

/// Guards against urgent work that is late because few large urgent jobs, which came before, take all workers (more
/// urgent work than room).
#[test]
fn more_urgent_work_than_room() {
    let mut load = Recording::new();
    let urgent = |id: &str, accelerators: u64, estimate_ms: u64| {
        let mut urgent = unguaranteed(id, 0, accelerators, estimate_ms);
        urgent.objective_factor = 1.5;
        urgent.objective_ms = 250;
        urgent
    };
    for number in 0..4 {
        load.submit(urgent(&format!("a{number}"), 8, 1_400));
    }
    load.run_for(100);
    for number in 0..8 {
        load.submit(urgent(&format!("b{number}"), 8, 3_000));
    }
    load.run_for(1_200);
    for number in 0..16 {
        load.submit(urgent(&format!("c{number:02}"), 2, 600));
    }
    load.run_until_done(60_000);
    let small = load.outcomes(|job| job.estimate_ms() == 600);
    assert_eq!(small.all, 16);
    assert!(small.in_time >= 14, "{small:?}");
    load.sim.assert_no_violations();
}

/// Submits twice the work that fits over 40 s, with sizes that differ by a factor of hundred, and runs until all is done.
/// Every fourth job has priority 1, the others 2.
fn steady_overload() -> Recording {
    const MEAN_WORK: f64 = 3_200.0;
    let mut load = Recording::new();
    let mut state: u64 = 7;
    let mut uniform = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 11) as f64 / (1_u64 << 53) as f64
    };
    for number in 0..800 {
        // The sum of uniform values is close to a normal distribution; the mean of this lognormal one is 1.46.
        let normal = (0..12).map(|_| uniform()).sum::<f64>() - 6.0;
        let accelerators = [1, 2, 4, 8][(uniform() * 4.0) as usize];
        let estimate_ms = (MEAN_WORK / 3.75 / 1.46 * f64::exp(0.87 * normal)).clamp(100.0, 10_000.0);
        let priority = if number % 4 == 0 { 1 } else { 2 };
        load.submit(unguaranteed(
            &format!("d{number:03}"),
            priority,
            accelerators,
            estimate_ms as u64,
        ));
        load.run_for(50);
    }
    load.run_until_done(120_000);
    load
}

/// Guards against an overload in which hardly any job is in time, or in which large jobs are never served (a steady
/// overload of twice the room over 40 s with large and small jobs).
#[test]
fn steady_overload_of_twice_the_room() {
    let load = steady_overload();
    assert!(load.jobs.values().all(|job| job.done_ms.is_some()));
    load.sim.assert_no_violations();
    let mut works: Vec<u64> = load.jobs.values().map(Submitted::work).collect();
    works.sort_unstable();
    let (fifth, tenth) = (works[works.len() * 7 / 10], works[works.len() * 9 / 10]);
    let kind = load.outcomes(|_| true);
    let largest = load.outcomes(|job| job.work() >= tenth);
    let below = load.outcomes(|job| (fifth..tenth).contains(&job.work()));
    for priority in [1, 2] {
        for (name, from, to) in [("small", 0, fifth), ("fifth", fifth, tenth), ("tenth", tenth, u64::MAX)] {
            let part = load.outcomes(|job| job.job.priority == priority && (from..to).contains(&job.work()));
            println!("priority {priority} {name}: {part:?}");
        }
    }
    println!("all {kind:?} tenth {largest:?} fifth {below:?}");
    let demand: u64 = load.jobs.values().map(Submitted::work).sum();
    assert!(demand >= 2 * 32 * 40_000, "{demand}");
    assert!(kind.in_time * 2 >= kind.all, "{kind:?}");
    // The work of priority 1 needs half of the room.
    let first = load.outcomes(|job| job.job.priority == 1);
    assert!(first.in_time * 10 >= first.all * 9, "{first:?}");
    assert!(
        largest.served_share() >= 0.5 * kind.served_share(),
        "{largest:?} {kind:?}"
    );
    assert!(below.served_share() >= 0.5 * kind.served_share(), "{below:?} {kind:?}");
}

/// Guards against work beyond its late limit that delays work which can still be in time, or is never completed.
#[test]
fn work_beyond_its_late_limit_beside_work_in_time() {
    let mut load = Recording::new();
    for number in 0..4 {
        load.submit(unguaranteed(&format!("a{number}"), 1, 8, 4_000));
    }
    for number in 0..4 {
        let mut hopeless = unguaranteed(&format!("b{number}"), 1, 8, 2_000);
        hopeless.objective_factor = 0.5;
        hopeless.objective_ms = 0;
        load.submit(hopeless);
    }
    load.run_for(2_500);
    for number in 0..8 {
        load.submit(unguaranteed(&format!("c{number}"), 1, 4, 1_000));
    }
    load.run_until_done(30_000);
    let in_time = load.outcomes(|job| job.estimate_ms() == 1_000);
    assert_eq!((in_time.all, in_time.in_time), (8, 8));
    assert!(load.jobs.values().all(|job| job.done_ms.is_some()));
    load.sim.assert_no_violations();
}

/// Guards against another order than before for a load that fits. The snapshot is that of the order without this decision.
#[test]
fn load_that_fits_keeps_its_order() {
    let mut load = Recording::new();
    for number in 0..40 {
        let accelerators = [1, 2, 4, 8][number % 4];
        let estimate_ms = [900, 300, 1_500, 600, 200][number % 5];
        load.submit(unguaranteed(
            &format!("e{number:02}"),
            1 + number as u32 % 2,
            accelerators,
            estimate_ms,
        ));
        load.run_for(250);
    }
    load.run_until_done(5_000);
    let starts = load
        .sim
        .starts
        .iter()
        .map(|(at_ms, task, worker)| format!("{at_ms} {task} {worker}"));
    insta::assert_snapshot!(starts.collect::<Vec<_>>().join("\n"));
    assert!(!load.sim.log_lines.iter().any(|line| line.contains(" overload ")));
    assert!(load.jobs.values().all(|job| job.is_done_within(1)));
    load.sim.assert_no_violations();
}

/// Guards against a load that operators cannot see: the standing in `explain`, the counts, the backlog and the log line
/// (more work waits than its service holds).
#[test]
fn insufficient_capacity_is_reported() {
    let mut load = Recording::new();
    for number in 0..4 {
        load.submit(unguaranteed(&format!("a{number}"), 1, 8, 2_000));
    }
    load.run_for(100);
    let mut long = unguaranteed("b", 1, 8, 6_000);
    long.objective_factor = 1.2;
    long.objective_ms = 0;
    let long = load.submit(long);
    for number in 0..20 {
        load.submit(unguaranteed(&format!("c{number:02}"), 1, 8, 800));
    }
    load.run_for(300);
    let now_ms = load.sim.now_ms;
    let explanation = load.sim.engine.explain(&long, now_ms).expect("the job is open");
    assert_eq!(explanation.steps[0].standing.as_deref(), Some("postponed"));
    let stats = load.sim.engine.stats();
    assert_eq!(stats.standings.iter().sum::<u64>(), 21, "{:?}", stats.standings);
    assert!(stats.standings[2] > 0, "{:?}", stats.standings);
    // 20 tasks of 800 ms and one of 6,000 ms, each of which takes a quarter of the accelerators.
    assert_eq!(stats.backlog_ms, [0, (20 * 800 + 6_000) / 4, 0, 0]);
    load.run_until_done(60_000);
    let lines = load.sim.log_lines.iter().filter(|line| line.contains(" overload "));
    let changes: Vec<bool> = lines.map(|line| line.contains("is_overloaded=true")).collect();
    assert_eq!(changes, [true, false]);
    assert_eq!(load.sim.engine.stats().backlog_ms, [0; 4]);
    load.sim.assert_no_violations();
}
