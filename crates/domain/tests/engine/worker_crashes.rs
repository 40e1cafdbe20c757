//! Tasks that crash the workers that start them.

use domain::JobState;
use rstest::rstest;

use crate::simulation::{Return, Simulation, job, step};

/// Starts after which a task that crashes every worker breaks the rule of the platform: three after three crashes.
const STARTS_TOO_MANY: usize = 6;

/// Asserts that the job of a crashing task has failed before the task was started too often.
fn assert_given_up(sim: &Simulation, id: &str, task: &str) {
    let lines = sim.log_lines.join("\n");
    assert_eq!(sim.state(id), JobState::Failed, "{lines}");
    assert!(sim.starts_of(task) < STARTS_TOO_MANY, "{:?}\n{lines}", sim.starts);
    sim.assert_no_violations();
}

/// Guards against a task that takes down one worker after the other: the loss of a run with its worker counted as nothing,
/// so the task was started again without limit.
#[rstest]
fn task_that_crashes_every_worker_is_given_up(
    #[values(Return::SameId, Return::OtherId)] returns: Return,
    // Shorter and longer than a lease.
    #[values(1_000, 3_000, 9_000)] downtime_ms: u64,
    // At the start, before the reply leaves, and after reports have listed the run.
    #[values((10, false), (10, true), (2_000, false))] (delay_ms, loses_start_replies): (u64, bool),
    #[values(false, true)] is_gang: bool,
) {
    let mut sim = Simulation::new(2, 8);
    sim.crashes.returns = returns;
    sim.crashes.downtime_ms = downtime_ms;
    sim.crashes.delay_ms = delay_ms;
    sim.crashes.loses_start_replies = loses_start_replies;
    let mut shape = step(4, 2, 5_000);
    shape.is_gang = is_gang;
    let (id, task) = sim.submit_crashing(job("a", 1, shape), 0);
    sim.run_until(60_000, |sim| sim.state(&id) == JobState::Failed);
    sim.run_for(10_000);
    assert_given_up(&sim, &id, &task);
}

/// Guards against a crash that is forgotten because the new process answers at the address of a worker, whose leases have
/// expired, before the list of workers shows it.
#[rstest]
fn crash_is_counted_although_the_list_shows_the_new_process_late(#[values(10, 20, 30, 40)] delay_ms: u64) {
    let mut sim = Simulation::new(2, 8);
    sim.crashes.delay_ms = delay_ms;
    sim.crashes.returns = Return::OtherId;
    sim.crashes.downtime_ms = 9_000;
    sim.crashes.is_entry_late = true;
    let (id, task) = sim.submit_crashing(job("a", 1, step(4, 2, 5_000)), 0);
    for _ in 0..60 {
        sim.run_for(1_000);
        sim.refresh_entries();
    }
    assert_given_up(&sim, &id, &task);
}

/// Guards against a successor that does not know the crashes before it, so that the task crashes as many workers again.
#[rstest]
#[case::at_the_crash(1, 50)]
#[case::while_the_worker_is_down(1, 1_500)]
#[case::when_the_crash_is_known(1, 3_050)]
#[case::at_two_crashes(2, 50)]
#[case::when_two_crashes_are_known(2, 3_050)]
#[case::at_three_crashes(3, 50)]
#[case::after_every_crash(20, 1_500)]
#[case::after_every_start(20, 3_350)]
fn crashes_are_counted_across_takeovers(
    #[case] takeovers: u32,
    #[case] delay_ms: u64,
    #[values(Return::SameId, Return::OtherId)] returns: Return,
) {
    let mut sim = Simulation::new(2, 8);
    sim.crashes.returns = returns;
    let (id, task) = sim.submit_crashing(job("a", 1, step(4, 2, 5_000)), 0);
    for takeover in 1..=takeovers {
        sim.run_until(20_000, |sim| {
            sim.crashes.count >= takeover || sim.state(&id) == JobState::Failed
        });
        sim.run_for(delay_ms);
        sim.take_over();
    }
    sim.run_until(60_000, |sim| sim.state(&id) == JobState::Failed);
    assert_given_up(&sim, &id, &task);
}

/// Guards against a restart whose cause is forgotten: the store was down when the crash was counted, and the holder was
/// replaced before it came back.
#[test]
fn suspect_task_waits_until_its_crash_is_durable() {
    let mut sim = Simulation::new(2, 8);
    let (id, task) = sim.submit_crashing(job("a", 1, step(4, 2, 5_000)), 0);
    sim.run_until(5_000, |sim| sim.crashes.count == 1);
    sim.is_store_down = true;
    sim.run_for(10_000);
    assert_eq!(sim.starts_of(&task), 1, "{:?}", sim.starts);
    sim.take_over();
    sim.is_store_down = false;
    sim.run_until(60_000, |sim| sim.state(&id) == JobState::Failed);
    assert_given_up(&sim, &id, &task);
}

/// Guards against jobs that are given up because their tasks ran beside one that crashes workers.
#[rstest]
#[case::alone(false)]
#[case::in_a_gang(true)]
fn neighbours_of_crashing_tasks_complete(#[case] is_gang: bool) {
    let mut sim = Simulation::new(2, 8);
    let mut ids = Vec::new();
    let mut tasks = Vec::new();
    for number in 0..24 {
        let mut shape = step(4, 2, 4_000);
        shape.is_gang = is_gang && number % 2 == 0;
        let next = job(&format!("{number}"), 1, shape);
        if number % 4 == 1 {
            tasks.push(sim.submit_crashing(next, 2));
        } else {
            ids.push(sim.submit(next));
        }
        sim.run_for(20 * (number % 3));
    }
    sim.run_until(120_000, |sim| ids.iter().all(|id| sim.state(id).is_final()));
    sim.run_until(60_000, |sim| {
        tasks.iter().all(|(id, _)| sim.state(id) == JobState::Failed)
    });
    for id in &ids {
        assert_eq!(sim.state(id), JobState::Done, "{id}\n{}", sim.log_lines.join("\n"));
    }
    for (_, task) in &tasks {
        assert!(sim.starts_of(task) < STARTS_TOO_MANY, "{task}");
    }
    sim.assert_no_violations();
}

/// Guards against jobs that are given up because workers crash for reasons of their own, again and again.
#[rstest]
fn tasks_on_flapping_workers_complete(
    #[values(2_300, 2_400, 2_450, 2_500, 2_550, 2_600, 2_700, 3_000)] interval_ms: u64,
) {
    let mut sim = Simulation::new(2, 6);
    sim.crashes.downtime_ms = 1_000;
    let ids: Vec<_> = (0..40)
        .map(|number| sim.submit(job(&format!("{number}"), 1, step(3, 2, 3_000))))
        .collect();
    for _ in 0..8 {
        for worker in ["w0-0", "w1-3"] {
            sim.crash(worker);
        }
        sim.run_for(interval_ms);
    }
    sim.run_until(120_000, |sim| ids.iter().all(|id| sim.state(id).is_final()));
    for id in &ids {
        assert_eq!(sim.state(id), JobState::Done, "{id}\n{}", sim.log_lines.join("\n"));
    }
    sim.assert_no_violations();
}

/// Guards against a task that lasts and fails now and then, and is given up because workers crash after it had ended there.
#[test]
fn failed_runs_of_a_task_that_lasts_count_as_no_crash() {
    let fail_run = |sim: &mut Simulation| {
        let runs = sim.workers.values_mut().flat_map(|worker| &mut worker.runs);
        runs.for_each(|run| run.fails = true);
    };
    let mut sim = Simulation::new(1, 4);
    let mut lasting = job("a", 1, step(1, 1, 600_000));
    lasting.steps[0].is_long_running = true;
    let id = sim.submit(lasting);
    let task = format!("{id}.0.0.0");
    sim.run_for(1_000);
    fail_run(&mut sim);
    for _ in 0..3 {
        sim.run_for(1_500);
        let worker = sim.worker_of_task(&task);
        sim.workers.get_mut(&worker).unwrap().is_unresponsive = true;
        fail_run(&mut sim);
        sim.run_until(500, |sim| sim.workers_of(&id).is_empty());
        sim.restart(&worker);
        sim.workers.get_mut(&worker).unwrap().is_unresponsive = false;
        sim.run_until(20_000, |sim| !sim.workers_of(&id).is_empty());
    }
    sim.run_for(1_000);
    assert_ne!(sim.state(&id), JobState::Failed, "{}", sim.log_lines.join("\n"));
    sim.assert_no_violations();
}

/// Guards against a long job that is given up because its workers crashed three times in hours.
#[test]
fn crashes_before_a_long_run_are_forgotten() {
    let mut sim = Simulation::new(1, 3);
    let mut long = step(1, 8, 180_000);
    long.saves_checkpoints = true;
    let id = sim.submit(job("a", 1, long));
    for _ in 0..4 {
        sim.run_for(32_000);
        let worker = sim.workers_of(&id)[0].clone();
        sim.crash(&worker);
        sim.run_for(5_000);
    }
    sim.run_until(300_000, |sim| sim.state(&id).is_final());
    assert_eq!(sim.state(&id), JobState::Done);
    sim.assert_no_violations();
}

/// Guards against counting a planned exit as a crash: the process of a drained worker ends while runs are left on it.
#[test]
fn exit_of_a_draining_worker_is_no_crash() {
    let mut sim = Simulation::new(1, 1);
    let id = sim.submit(job("a", 1, step(2, 2, 1_000)));
    sim.run_for(500);
    sim.workers.get_mut("w0-0").unwrap().is_draining = true;
    sim.refresh_entries();
    sim.crash("w0-0");
    sim.run_for(500);
    sim.workers.get_mut("w0-0").unwrap().is_draining = false;
    sim.run_until(20_000, |sim| sim.state(&id) == JobState::Done);
    assert_eq!(sim.starts.len(), 4, "{:?}", sim.starts);
    let counted = sim.log_lines.iter().filter(|line| line.contains("task_crashed_worker"));
    assert_eq!(counted.count(), 0, "{}", sim.log_lines.join("\n"));
    sim.assert_no_violations();
}
