//! Random schedules of faults: no task runs twice at the same time, and every job ends.

use domain::JobState;

use crate::simulation::{Simulation, job, step};

/// Linear congruential generator; a seed gives the same schedule on every machine.
struct Rng(u64);

impl Rng {
    fn next_below(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }
}

fn run_random_faults(seed: u64) {
    let mut rng = Rng(seed);
    let mut sim = Simulation::new(2, 4);
    let ids: Vec<_> = sim.workers.keys().cloned().collect();
    for number in 0..60 {
        let mut shape = step(
            1 + rng.next_below(6) as u32,
            1 + rng.next_below(8),
            300 + rng.next_below(4_000),
        );
        shape.is_gang = rng.next_below(3) == 0;
        shape.is_same_rack = shape.is_gang && rng.next_below(2) == 0;
        shape.saves_checkpoints = rng.next_below(2) == 0;
        shape.count = if shape.is_gang { shape.count.min(4) } else { shape.count };
        let mut next = job(&format!("{number}"), rng.next_below(3) as u32, shape);
        next.attempts = 1_000;
        let id = sim.submit(next);
        sim.run_for(rng.next_below(300));
        let worker = ids[rng.next_below(ids.len() as u64) as usize].clone();
        let now_ms = sim.now_ms;
        match rng.next_below(14) {
            0 => sim.take_over(),
            1 => sim.start_delay_ms = Some(rng.next_below(9_000)),
            2 => sim.lose_starts = 1 + rng.next_below(3) as u32,
            3 => sim.lose_commit_replies = 1 + rng.next_below(3) as u32,
            4 => sim.workers.get_mut(&worker).unwrap().restart(now_ms),
            5 => sim.workers.get_mut(&worker).unwrap().is_unresponsive = true,
            6 | 7 => sim.workers.get_mut(&worker).unwrap().is_unresponsive = false,
            8 => sim.is_store_down = true,
            9 | 10 => sim.is_store_down = false,
            11 => sim.cancel(&id),
            12 => sim.workers.get_mut(&worker).unwrap().speed = 0.3,
            _ => sim.workers.get_mut(&worker).unwrap().speed = 1.0,
        }
    }
    sim.is_store_down = false;
    for worker in sim.workers.values_mut() {
        worker.is_unresponsive = false;
        worker.speed = 1.0;
    }
    sim.run_until(180_000, |sim| {
        sim.store.values().all(|stored| stored.progress.state.is_final())
    });
    sim.run_for(500);
    sim.assert_no_violations();
    for stored in sim.store.values().filter(|stored| !stored.is_cancelled) {
        assert_eq!(stored.progress.state, JobState::Done, "seed {seed}: {}", stored.job.id);
    }
}

/// Guards against combinations of faults that together cause a duplicate run or a job that never ends.
#[test]
fn random_faults_cause_no_duplicate_run_and_every_job_ends() {
    const SEEDS: u64 = 200;
    for seed in 0..SEEDS {
        if let Err(panic) = std::panic::catch_unwind(|| run_random_faults(seed)) {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(panic);
        }
    }
}
