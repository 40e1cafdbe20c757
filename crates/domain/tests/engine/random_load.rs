//! Random loads with few faults: no task whose turn has come waits for long beside idle workers.

use domain::{Job, Step};

use crate::random_faults::Rng;
use crate::simulation::{FAILING_SPEC, Simulation, job, step};

/// Rounds of a schedule, each with a burst of jobs and some calm.
const ROUNDS: u64 = 3;

/// Time after the last round, in which most work ends.
const TAIL_MS: u64 = 6_000;

const WORKERS_PER_RACK: u32 = 4;

/// Random load of a deployment.
struct Load {
    rng: Rng,
    racks: u64,
    jobs: u64,
}

impl Load {
    fn one_in(&mut self, below: u64) -> bool {
        self.rng.next_below(below) == 0
    }

    /// Returns a rack; at times one that does not exist.
    fn rack(&mut self) -> String {
        format!("r{}", self.rng.next_below(self.racks + 1))
    }

    fn next_job(&mut self) -> Job {
        let kind = self.rng.next_below(10);
        let shape = match kind {
            0 | 1 => self.gang(),
            2 => self.lasting_step(),
            _ => self.finite_step(),
        };
        self.jobs += 1;
        let mut next = job(&format!("{:x}", self.jobs), self.rng.next_below(3) as u32, shape);
        if self.one_in(4) {
            let mut second = self.finite_step();
            second.after.push(0);
            next.steps.push(second);
        }
        if self.one_in(12) {
            next.route = "route-advised".into();
        }
        next
    }

    fn finite_step(&mut self) -> Step {
        let estimate_ms = if self.one_in(8) { 20_000 } else { 3_000 };
        let mut shape = step(
            1 + self.rng.next_below(6) as u32,
            1 + self.rng.next_below(8),
            300 + self.rng.next_below(estimate_ms),
        );
        match self.rng.next_below(6) {
            0 => shape.data_rack = Some(self.rack().into()),
            1 => shape.required_label = Some(format!("r{}", self.rng.next_below(self.racks)).into()),
            2 => shape.max_per_worker = 1 + self.rng.next_below(2) as u32,
            _ => {}
        }
        shape
    }

    fn gang(&mut self) -> Step {
        let mut gang = step(
            2 + self.rng.next_below(5) as u32,
            1 + self.rng.next_below(8),
            500 + self.rng.next_below(15_000),
        );
        gang.is_gang = true;
        gang.is_same_rack = self.one_in(2);
        if self.one_in(4) {
            gang.data_rack = Some(self.rack().into());
        }
        gang
    }

    fn lasting_step(&mut self) -> Step {
        let mut lasting = step(1 + self.rng.next_below(3) as u32, 1 + self.rng.next_below(3), 600_000);
        lasting.is_long_running = true;
        if self.one_in(3) {
            lasting.data_rack = Some(self.rack().into());
        }
        if self.one_in(3) {
            lasting.max_per_worker = 1;
        }
        lasting
    }

    /// Lets some of the tasks that last fail, or a worker crash.
    fn disturb(&mut self, sim: &mut Simulation) {
        match self.rng.next_below(6) {
            0 => {
                let ids: Vec<_> = sim.workers.keys().cloned().collect();
                sim.crash(&ids[self.rng.next_below(ids.len() as u64) as usize]);
            }
            1..=3 => {
                let runs = sim.workers.values_mut().flat_map(|worker| &mut worker.runs);
                for run in runs.filter(|run| run.work_ms == 600_000) {
                    run.fails |= self.rng.next_below(2) == 0;
                }
            }
            _ => {}
        }
    }

    /// Submits a burst of jobs; those of some bursts mostly fail.
    fn burst(&mut self, sim: &mut Simulation) {
        let failing_percent = if self.one_in(3) { 80 } else { 5 };
        for _ in 0..10 + self.rng.next_below(20) {
            let mut next = self.next_job();
            if self.rng.next_below(100) < failing_percent && !next.steps[0].is_long_running {
                next.spec = FAILING_SPEC.into();
            }
            sim.submit(next);
            sim.run_for(self.rng.next_below(200));
        }
    }
}

/// Returns what waited for too long in a random load.
fn run_random_load(seed: u64) -> Vec<String> {
    let mut rng = Rng(seed);
    let racks = 2 + rng.next_below(3);
    let mut sim = Simulation::new(racks as u32, WORKERS_PER_RACK);
    let mut load = Load { rng, racks, jobs: 0 };
    sim.hint_call_ms = load.rng.next_below(400);
    if load.one_in(2) {
        let ids = sim.workers.keys().cloned();
        sim.permitted_workers = ids.filter(|_| load.rng.next_below(2) == 0).collect();
    }
    for round in 0..ROUNDS {
        if round == 1 && load.one_in(4) {
            sim.remove_rack(&format!("r{}", load.rng.next_below(racks)));
        }
        load.burst(&mut sim);
        load.disturb(&mut sim);
        sim.run_for(5_000 + load.rng.next_below(6_000));
    }
    sim.run_for(TAIL_MS);
    sim.violations
}

/// Guards against rules of placement that together keep a ready task from idle workers, each of which is harmless alone.
#[test]
fn no_ready_task_waits_for_long_beside_idle_workers() {
    const SEEDS: u64 = 200;
    // A job was kept for 3 s from excluded workers on which it had failed, and by a ticket for a worker on which its step
    // was at its limit.
    const FAILED_BEFORE: [u64; 6] = [201, 309, 393, 490, 609, 658];
    let waits: Vec<_> = (0..SEEDS)
        .chain(FAILED_BEFORE)
        .flat_map(|seed| {
            run_random_load(seed)
                .into_iter()
                .map(move |wait| format!("seed {seed}: {wait}"))
        })
        .collect();
    assert!(waits.is_empty(), "{} waits\n{}", waits.len(), waits.join("\n"));
}
