//! Work with needs of its own: fillers beside serving tasks, queues with advice, upkeep in waves, tasks that last.

use domain::{JobState, Wave, WaveProgress};

use crate::world::{World, job, step};

/// Guards against fillers that keep a serving task over its target, and against fillers that never work again.
#[test]
fn fillers_slow_down_beside_a_serving_task() {
    let mut world = World::new(1, 1);
    let mut serving = step(1, 1, 1_000_000);
    serving.is_long_running = true;
    serving.target_ms = 100;
    let served = world.submit(job("a", 0, serving));
    world.run_for(200);
    let mut filler = step(4, 1, 4_000);
    filler.is_filler = true;
    let background = world.submit(job("b", 2, filler));
    world.run_for(3_000);
    let tail = |world: &World| {
        let worker = world.workers.values().next().unwrap();
        let report = worker.report(world.now_ms);
        report.running.iter().map(|run| run.recent).fold(0.0, f64::max)
    };
    assert!(tail(&world) < 100.0, "{}", tail(&world));
    world.run_until(60_000, |world| world.state(&background) == JobState::Done);
    assert_eq!(world.state(&served), JobState::Running);
    world.assert_sound();
}

/// Guards against starts on workers that the queue's policy excludes, and against a question for every task.
#[test]
fn advised_work_starts_only_where_it_may() {
    let mut world = World::new(2, 8);
    world.permitted = vec!["w1-3".into(), "w1-5".into()];
    let mut advised = job("a", 1, step(6, 2, 300));
    advised.route = "route-advised".into();
    let id = world.submit(advised);
    world.run_until(5_000, |world| world.state(&id) == JobState::Done);
    assert!(
        world
            .starts
            .iter()
            .all(|(_, _, worker)| ["w1-3", "w1-5"].contains(&worker.as_str()))
    );
    assert!(world.advice_calls.len() <= 3, "{:?}", world.advice_calls);
    world.assert_sound();
}

/// Guards against more machines down than a wave allows, work lost to upkeep, and a wave said to be done too soon.
#[test]
fn wave_takes_machines_down_in_turn() {
    let mut world = World::new(1, 6);
    for number in 0..12 {
        let mut work = step(1, 4, 1_500);
        work.saves_checkpoints = true;
        world.submit(job(&format!("{number}"), 1, work));
    }
    world.run_for(300);
    let wave = Wave {
        number: 7,
        machines: ["m-w0-0", "m-w0-1", "m-w0-2", "m-w0-3"].map(Into::into).to_vec(),
        within_ms: 40_000,
        most_down: 2,
    };
    world.engine.set_wave(7, Some(wave), world.now_ms);
    world.run_until(40_000, |world| world.waves.get(&7) == Some(&WaveProgress::Done));
    let served = world.workers.values().filter(|worker| worker.had_upkeep).count();
    assert_eq!((served, world.interrupted), (4, 0));
    assert!(world.most_down <= 2, "{}", world.most_down);
    world.run_until(10_000, |world| {
        world.store.values().all(|job| job.progress.state == JobState::Done)
    });
    world.assert_sound();
}

/// Guards against a wave that a successor forgets or begins anew.
#[test]
fn wave_goes_on_after_a_takeover() {
    let mut world = World::new(1, 4);
    let wave = Wave {
        number: 1,
        machines: ["m-w0-0", "m-w0-1", "m-w0-2"].map(Into::into).to_vec(),
        within_ms: 30_000,
        most_down: 1,
    };
    world.engine.set_wave(1, Some(wave.clone()), world.now_ms);
    world.run_for(1_000);
    world.take_over();
    world.engine.set_wave(1, Some(wave), world.now_ms);
    world.run_until(30_000, |world| world.waves.get(&1) == Some(&WaveProgress::Done));
    assert!(world.most_down <= 1, "{}", world.most_down);
    let served = world.workers.values().filter(|worker| worker.had_upkeep).count();
    assert_eq!(served, 3);
    world.assert_sound();
}

/// Guards against a task that lasts and is not started again, or is stopped for urgent work.
#[test]
fn lasting_task_starts_again_and_is_not_preempted() {
    let mut world = World::new(1, 1);
    let mut lasting = step(1, 8, 500);
    lasting.is_long_running = true;
    lasting.max_unavailable = 1;
    let id = world.submit(job("a", 1, lasting));
    world.run_for(400);
    world.submit(job("b", 0, step(1, 8, 300)));
    world.run_for(50);
    assert_eq!(world.workers_of(&id).len(), 1);
    world.run_for(2_000);
    assert!(!world.state(&id).is_final());
    assert!(
        world
            .starts
            .iter()
            .filter(|(_, task, _)| task.starts_with(id.as_str()))
            .count()
            >= 2
    );
    world.assert_sound();
}

/// Guards against an occurrence that starts before its time, and a scheduled job that ends too soon.
#[test]
fn scheduled_job_runs_each_occurrence_when_it_is_due() {
    let mut world = World::new(1, 2);
    let mut scheduled = job("a", 1, step(2, 1, 300));
    scheduled.times = 3;
    scheduled.first_run_unix_ms = world.now_ms + 500;
    scheduled.interval_ms = 1_000;
    let first_ms = scheduled.first_run_unix_ms;
    let id = world.submit(scheduled);
    world.run_until(6_000, |world| world.state(&id) == JobState::Done);
    for (at_ms, task, _) in &world.starts {
        let occurrence: u64 = task.split('.').nth(1).unwrap().parse().unwrap();
        assert!(*at_ms >= first_ms + occurrence * 1_000, "{task} at {at_ms}");
    }
    assert_eq!(world.starts.len(), 6);
    world.assert_sound();
}
