//! Random schedules of faults: whatever happens, nothing runs twice and everything ends.

use domain::JobState;

use crate::world::{World, job, step};

/// Small generator, so that a seed gives the same schedule on every machine.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }
}

fn play(seed: u64) {
    let mut dice = Dice(seed);
    let mut world = World::new(2, 4);
    let ids: Vec<_> = world.workers.keys().cloned().collect();
    for number in 0..60 {
        let mut shape = step(1 + dice.roll(6) as u32, 1 + dice.roll(8), 300 + dice.roll(4_000));
        shape.is_gang = dice.roll(3) == 0;
        shape.is_same_rack = shape.is_gang && dice.roll(2) == 0;
        shape.saves_checkpoints = dice.roll(2) == 0;
        shape.count = if shape.is_gang { shape.count.min(4) } else { shape.count };
        let mut next = job(&format!("{number}"), dice.roll(3) as u32, shape);
        next.attempts = 1_000;
        let id = world.submit(next);
        world.run_for(dice.roll(300));
        let worker = ids[dice.roll(ids.len() as u64) as usize].clone();
        let now_ms = world.now_ms;
        match dice.roll(14) {
            0 => world.take_over(),
            1 => world.late_start_ms = Some(dice.roll(9_000)),
            2 => world.lose_starts = 1 + dice.roll(3) as u32,
            3 => world.lose_commits = 1 + dice.roll(3) as u32,
            4 => world.workers.get_mut(&worker).unwrap().restart(now_ms),
            5 => world.workers.get_mut(&worker).unwrap().is_silent = true,
            6 | 7 => world.workers.get_mut(&worker).unwrap().is_silent = false,
            8 => world.is_store_down = true,
            9 | 10 => world.is_store_down = false,
            11 => world.cancel(&id),
            12 => world.workers.get_mut(&worker).unwrap().speed = 0.3,
            _ => world.workers.get_mut(&worker).unwrap().speed = 1.0,
        }
    }
    world.is_store_down = false;
    for worker in world.workers.values_mut() {
        worker.is_silent = false;
        worker.speed = 1.0;
    }
    world.run_until(180_000, |world| {
        world.store.values().all(|stored| stored.progress.state.is_final())
    });
    world.run_for(500);
    world.assert_sound();
    for stored in world.store.values().filter(|stored| !stored.is_cancelled) {
        assert_eq!(stored.progress.state, JobState::Done, "seed {seed}: {}", stored.job.id);
    }
}

/// Guards against pairs of faults that break a rule together.
#[test]
fn nothing_runs_twice_and_everything_ends() {
    const SEEDS: u64 = 200;
    for seed in 0..SEEDS {
        if let Err(panic) = std::panic::catch_unwind(|| play(seed)) {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(panic);
        }
    }
}
