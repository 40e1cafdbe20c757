//! Background tasks beside serving tasks, queues with placement hints, maintenance waves, long-running tasks and
//! scheduled jobs.

use domain::{JobState, Wave, WaveProgress};

use crate::simulation::{Simulation, job, step};

/// Guards against background tasks that keep a serving task above its latency target, and against background tasks that
/// stay throttled permanently.
#[test]
fn background_tasks_are_throttled_beside_a_serving_task() {
    let mut sim = Simulation::new(1, 1);
    let mut serving = step(1, 1, 1_000_000);
    serving.is_long_running = true;
    serving.target_ms = 100;
    let serving_job = sim.submit(job("a", 0, serving));
    sim.run_for(200);
    let mut background_step = step(4, 1, 4_000);
    background_step.is_filler = true;
    let background_job = sim.submit(job("b", 2, background_step));
    sim.run_for(3_000);
    let tail = |sim: &Simulation| {
        let worker = sim.workers.values().next().unwrap();
        let report = worker.report(sim.now_ms);
        report.running.iter().map(|run| run.recent).fold(0.0, f64::max)
    };
    assert!(tail(&sim) < 100.0, "{}", tail(&sim));
    sim.run_until(60_000, |sim| sim.state(&background_job) == JobState::Done);
    assert_eq!(sim.state(&serving_job), JobState::Running);
    sim.assert_no_violations();
}

/// Guards against throttles that pile up while a worker does not answer, so that it is told an old share after a newer one
/// (HARM).
#[test]
fn throttles_do_not_pile_up_while_a_worker_does_not_answer() {
    let mut sim = Simulation::new(1, 1);
    let mut serving = step(1, 1, 1_000_000);
    serving.is_long_running = true;
    serving.target_ms = 100;
    sim.submit(job("a", 0, serving));
    sim.run_for(200);
    let mut background_step = step(60, 0, 1_000_000);
    background_step.is_filler = true;
    background_step.need.memory_mib = 1;
    sim.submit(job("b", 2, background_step));
    let worker = sim.workers.values().next().unwrap().id.clone();
    sim.run_until(300, |sim| sim.workers[&worker].runs.len() > 60);
    sim.command_link.held_workers.push(worker.clone());
    sim.run_for(2_000);
    sim.assert_no_violations();
    sim.command_link.held_workers.clear();
    let is_throttled = |sim: &Simulation| {
        sim.workers[&worker]
            .runs
            .iter()
            .all(|run| !run.is_filler || run.speed_percent < 100)
    };
    sim.run_until(1_000, is_throttled);
    sim.assert_no_violations();
}

/// Guards against starts on workers that the queue's policy excludes, and against one call of the placement service for
/// each task.
#[test]
fn tasks_with_placement_hints_start_only_on_permitted_workers() {
    let mut sim = Simulation::new(2, 8);
    sim.permitted_workers = vec!["w1-3".into(), "w1-5".into()];
    let mut advised = job("a", 1, step(6, 2, 300));
    advised.route = "route-advised".into();
    let id = sim.submit(advised);
    sim.run_until(5_000, |sim| sim.state(&id) == JobState::Done);
    assert!(
        sim.starts
            .iter()
            .all(|(_, _, worker)| ["w1-3", "w1-5"].contains(&worker.as_str()))
    );
    assert!(sim.hint_calls.len() <= 3, "{:?}", sim.hint_calls);
    sim.assert_no_violations();
}

/// Guards against more machines down than a wave allows, runs interrupted by maintenance, and a wave reported done too
/// early.
#[test]
fn maintenance_wave_limits_machines_down_at_once() {
    let mut sim = Simulation::new(1, 6);
    for number in 0..12 {
        let mut work = step(1, 4, 1_500);
        work.saves_checkpoints = true;
        sim.submit(job(&format!("{number}"), 1, work));
    }
    sim.run_for(300);
    let wave = Wave {
        number: 7,
        machines: ["m-w0-0", "m-w0-1", "m-w0-2", "m-w0-3"].map(Into::into).to_vec(),
        within_ms: 40_000,
        most_down: 2,
    };
    sim.request_wave(wave);
    sim.run_until(40_000, |sim| sim.waves.get(&7) == Some(&WaveProgress::Done));
    let maintained = sim.workers.values().filter(|worker| worker.was_maintained).count();
    assert_eq!((maintained, sim.interrupted_runs), (4, 0));
    assert!(sim.most_down <= 2, "{}", sim.most_down);
    sim.run_until(10_000, |sim| {
        sim.store.values().all(|job| job.progress.state == JobState::Done)
    });
    sim.assert_no_violations();
}

/// Guards against a maintenance wave that a new scheduler loses or restarts from the beginning.
#[test]
fn maintenance_wave_continues_after_a_takeover() {
    let mut sim = Simulation::new(1, 4);
    let wave = Wave {
        number: 1,
        machines: ["m-w0-0", "m-w0-1", "m-w0-2"].map(Into::into).to_vec(),
        within_ms: 30_000,
        most_down: 1,
    };
    sim.request_wave(wave);
    sim.run_for(1_000);
    sim.take_over();
    sim.run_until(30_000, |sim| sim.waves.get(&1) == Some(&WaveProgress::Done));
    assert!(sim.most_down <= 1, "{}", sim.most_down);
    let maintained = sim.workers.values().filter(|worker| worker.was_maintained).count();
    assert_eq!(maintained, 3);
    sim.assert_no_violations();
}

/// Guards against a long-running task that is not restarted when it ends, or is preempted for urgent work.
#[test]
fn long_running_task_restarts_and_is_not_preempted() {
    let mut sim = Simulation::new(1, 1);
    let mut long_running = step(1, 8, 500);
    long_running.is_long_running = true;
    long_running.max_unavailable = 1;
    let id = sim.submit(job("a", 1, long_running));
    sim.run_for(400);
    sim.submit(job("b", 0, step(1, 8, 300)));
    sim.run_for(50);
    assert_eq!(sim.workers_of(&id).len(), 1);
    sim.run_for(2_000);
    assert!(!sim.state(&id).is_final());
    assert!(
        sim.starts
            .iter()
            .filter(|(_, task, _)| task.starts_with(id.as_str()))
            .count()
            >= 2
    );
    sim.assert_no_violations();
}

/// Guards against an occurrence that starts before its due time, and a scheduled job that ends before its last one.
#[test]
fn scheduled_job_runs_each_occurrence_when_it_is_due() {
    let mut sim = Simulation::new(1, 2);
    let mut scheduled = job("a", 1, step(2, 1, 300));
    scheduled.times = 3;
    scheduled.first_run_unix_ms = sim.now_ms + 500;
    scheduled.interval_ms = 1_000;
    let first_ms = scheduled.first_run_unix_ms;
    let id = sim.submit(scheduled);
    sim.run_until(6_000, |sim| sim.state(&id) == JobState::Done);
    for (at_ms, task, _) in &sim.starts {
        let occurrence: u64 = task.split('.').nth(1).unwrap().parse().unwrap();
        assert!(*at_ms >= first_ms + occurrence * 1_000, "{task} at {at_ms}");
    }
    assert_eq!(sim.starts.len(), 6);
    sim.assert_no_violations();
}
