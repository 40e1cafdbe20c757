//! Starts that wait while a worker does not answer.

use compact_str::CompactString;
use domain::{JobState, Resources};
use rstest::rstest;

use crate::simulation::{Simulation, job, step};

/// Number of tasks that fit on one worker and that its connections cannot take at once.
const TASKS: u32 = 100;

/// Returns a cluster of two workers with a job of small tasks, and the worker that the tasks were placed on, which answers
/// no start commands and, if it is silent, nothing else either.
fn with_starts_that_wait(is_silent: bool) -> (Simulation, CompactString, CompactString) {
    let mut sim = Simulation::new(1, 2);
    let mut shape = step(TASKS, 0, 20_000);
    shape.need = Resources {
        cpu_milli: 1,
        memory_mib: 1,
        accelerators: 0,
    };
    let warm_up = sim.submit(job("f", 1, step(1, 1, 600_000)));
    sim.run_until(1_000, |sim| sim.workers_of(&warm_up).len() == 1);
    sim.run_for(500);
    let worker = sim.workers_of(&warm_up)[0].clone();
    sim.workers.get_mut(&worker).unwrap().is_unresponsive = is_silent;
    sim.command_link.held_workers.push(worker.clone());
    let id = sim.submit(job("a", 1, shape));
    sim.run_for(300);
    let is_there = sim
        .starts
        .iter()
        .any(|(_, task, on)| task.starts_with(id.as_str()) && *on == worker);
    assert!(is_there, "the tasks were placed elsewhere: {:?}", sim.starts);
    (sim, id, worker)
}

fn starts_on(sim: &Simulation, id: &CompactString, worker: &CompactString) -> usize {
    let starts = sim.starts.iter();
    starts
        .filter(|(_, task, on)| task.starts_with(id.as_str()) && on == worker)
        .count()
}

/// Guards against tasks that run twice (TWICE): start commands for a worker that is cut off and loses power wait behind
/// others until its next process answers, which takes them although the tasks have started elsewhere.
#[test]
fn starts_do_not_wait_for_the_next_process_of_a_worker() {
    let (mut sim, id, silent) = with_starts_that_wait(true);
    sim.run_for(3_000);
    let sent = starts_on(&sim, &id, &silent);
    assert!(
        sent < 64,
        "{sent} start commands were sent to a worker that does not answer"
    );
    assert_eq!(
        sim.starts
            .iter()
            .filter(|(_, task, _)| task.starts_with(id.as_str()))
            .count(),
        TASKS as usize
    );
    sim.restart(&silent);
    sim.run_for(3_000);
    sim.workers.get_mut(&silent).unwrap().is_unresponsive = false;
    sim.command_link.held_workers.clear();
    sim.run_until(40_000, |sim| sim.state(&id) == JobState::Done);
    sim.assert_no_violations();
}

/// Guards against starts that were decided for a former process of a worker (TWICE, ROUTE): the new one may be of another
/// kind, and the durable trials of the runs name the former one.
#[test]
fn starts_that_wait_are_decided_anew_when_their_worker_restarts() {
    let (mut sim, id, worker) = with_starts_that_wait(false);
    let sent = starts_on(&sim, &id, &worker);
    sim.restart(&worker);
    sim.run_for(700);
    let dropped = sim.log_lines.iter().filter(|line| line.contains("start_dropped"));
    assert_eq!(dropped.count(), TASKS as usize - sent, "{:?}", sim.log_lines);
    sim.command_link.held_workers.clear();
    sim.run_until(40_000, |sim| sim.state(&id) == JobState::Done);
    sim.assert_no_violations();
}

/// Guards against tasks that start long after their job was cancelled (UNASKED): their start commands wait behind others
/// while the worker does not answer, and nothing withdraws them.
#[rstest]
#[case::answers_renewals(false)]
#[case::answers_nothing(true)]
fn waiting_starts_end_with_the_cancelling_of_their_job(#[case] is_silent: bool) {
    let (mut sim, id, worker) = with_starts_that_wait(is_silent);
    let starts = sim.starts.len();
    sim.cancel(&id);
    sim.run_for(3_000);
    sim.workers.get_mut(&worker).unwrap().is_unresponsive = false;
    sim.command_link.held_workers.clear();
    sim.run_for(5_000);
    assert_eq!(sim.starts.len(), starts, "{:?}", sim.starts);
    assert_eq!(sim.state(&id), JobState::Cancelled);
    assert!(sim.workers.values().all(|worker| worker.runs.len() <= 1));
    sim.assert_no_violations();
}

/// Guards against runs of a cancelled job that go on (UNASKED): their stops wait behind hundreds of repeated ones while
/// the worker does not answer.
#[test]
fn stops_do_not_pile_up_while_a_worker_does_not_answer() {
    let (mut sim, id, worker) = with_starts_that_wait(false);
    sim.command_link.held_workers.clear();
    sim.run_until(2_000, |sim| sim.workers[&worker].runs.len() > TASKS as usize);
    sim.command_link.held_workers.push(worker.clone());
    sim.cancel(&id);
    sim.run_for(4_000);
    let stops = sim.engine.stats().stops;
    assert!(stops < 64, "{stops} stop commands to a worker that does not answer");
    sim.command_link.held_workers.clear();
    sim.run_until(500, |sim| sim.workers[&worker].runs.len() == 1);
    sim.assert_no_violations();
}
