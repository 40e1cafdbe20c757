//! Rows that list each start before it is sent, and what a successor takes from them.

use domain::{JobState, Resources, StartBoundRow};
use rstest::rstest;

use crate::silent_workers::{silence, silence_ends, with_silent_worker};
use crate::simulation::{Simulation, job, step};

/// Guards against a task that waits for the lease of a lost worker as it was when its row was first written, as if the
/// time until the takeover had not passed.
#[test]
fn wait_for_a_lease_includes_the_time_before_the_takeover() {
    let (mut sim, long, _) = with_silent_worker(5_000);
    sim.take_over();
    let waited_ms = sim.run_until(12_000, |sim| sim.starts_of(&format!("{long}.0.0.1")) == 2);
    // The lease of 6 s ends 1 s after the takeover; the row says so within a second.
    assert!(waited_ms <= 2_500, "{waited_ms} ms");
    sim.assert_no_violations();
}

/// Guards against a gang that waits for workers which ran its members until it was broken up, before they were lost.
#[test]
fn gang_waits_only_for_members_that_have_not_ended() {
    let mut sim = Simulation::new(1, 8);
    let mut gang = step(4, 8, 20_000);
    gang.is_gang = true;
    let id = sim.submit(job("a", 1, gang));
    sim.run_until(2_000, |sim| sim.workers_of(&id).len() == 4);
    sim.run_for(1_000);
    let members = sim.workers_of(&id);
    silence(&mut sim, &members[0]);
    for member in &members[1..] {
        sim.workers.get_mut(member).unwrap().runs[0].fails = true;
    }
    sim.run_for(4_500);
    assert_eq!(sim.workers_of(&id), members[..1]);
    members[1..].iter().for_each(|member| silence(&mut sim, member));
    sim.run_for(100);
    sim.take_over();
    sim.run_until(4_000, |sim| sim.workers_of(&id).len() == 4);
    sim.assert_no_violations();
}

/// Guards against a row that still names a run which has ended: the later run of the task elsewhere would be stopped.
#[rstest]
fn later_run_of_a_task_goes_on_beside_a_row_that_names_the_former(#[values(false, true)] is_gang: bool) {
    let mut sim = Simulation::new(2, 2);
    let mut shape = step(2, 8, 20_000);
    shape.is_gang = is_gang;
    let id = sim.submit(job("a", 1, shape));
    sim.run_until(2_000, |sim| sim.workers_of(&id).len() == 2);
    sim.run_for(1_000);
    let former = sim.worker_of_task(&format!("{id}.0.0.0"));
    sim.restart(&former);
    sim.workers.get_mut(&former).unwrap().capacity = Resources::default();
    sim.refresh_entries();
    let outdated = sim.last_runs[&former].clone();
    assert!(outdated.runs.iter().any(|run| run.task.starts_with(id.as_str())));
    sim.run_until(5_000, |sim| sim.workers_of(&id).len() == 2);
    sim.run_for(500);
    sim.last_runs.insert(former.clone(), outdated);
    let starts = sim.starts.len();
    silence(&mut sim, &former);
    sim.take_over();
    sim.run_until(30_000, |sim| sim.state(&id) == JobState::Done);
    assert_eq!(sim.starts.len(), starts, "{:?}", sim.starts);
    sim.assert_no_violations();
}

/// Guards against runs that are stopped, or whose crash counts as nothing, because their worker replies to the successor
/// only after they were taken from its row.
#[test]
fn runs_of_a_worker_that_replies_late_go_on() {
    let (mut sim, long, silent) = with_silent_worker(100);
    sim.take_over();
    sim.run_for(900);
    silence_ends(&mut sim, &silent);
    sim.run_for(3_000);
    assert_eq!(sim.starts_of(&format!("{long}.0.0.1")), 1, "{:?}", sim.starts);
    sim.crash(&silent);
    sim.run_until(9_000, |sim| sim.starts_of(&format!("{long}.0.0.1")) == 2);
    let crash = format!("task_crashed_worker task={long}.0.0.1");
    assert!(
        sim.log_lines.iter().any(|line| line.contains(&crash)),
        "{:?}",
        sim.log_lines
    );
    sim.assert_no_violations();
}

/// Guards against a bound of an earlier release that is read as if it said that starts are listed, and against one that
/// such a release reads as a number although they are.
#[test]
fn start_bound_of_an_earlier_release_lists_no_runs() {
    let row = |are_runs_listed| StartBoundRow {
        version: 7,
        are_runs_listed,
    };
    assert_eq!(serde_json::from_str::<StartBoundRow>("7").unwrap(), row(false));
    assert_eq!(serde_json::to_string(&row(false)).unwrap(), "7");
    let listed = serde_json::to_string(&row(true)).unwrap();
    assert_eq!(serde_json::from_str::<StartBoundRow>(&listed).unwrap(), row(true));
    assert!(serde_json::from_str::<u64>(&listed).is_err(), "{listed}");
}

/// Guards against starts that wait for ever while the store refuses the writes of other rows.
#[test]
fn starts_do_not_wait_for_writes_that_are_refused() {
    let mut sim = Simulation::new(2, 2);
    let first = sim.submit(job("a", 1, step(2, 2, 60_000)));
    sim.run_until(1_000, |sim| sim.workers_of(&first).len() == 1);
    sim.run_for(500);
    assert!(sim.start_bound.unwrap().are_runs_listed);
    sim.are_commits_refused = true;
    let second = sim.submit(job("b", 1, step(2, 2, 60_000)));
    sim.run_until(1_500, |sim| !sim.workers_of(&second).is_empty());
    sim.assert_no_violations();
}
