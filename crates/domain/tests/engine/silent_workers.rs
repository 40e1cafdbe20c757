//! Takeover while workers are silent: a successor knows what they may run.

use compact_str::CompactString;
use domain::{Job, JobState};
use rstest::rstest;

use crate::simulation::{FakeWorker, Simulation, job, step};

/// Longest time for which a task that can run may wait beside idle workers.
const START_LIMIT_MS: u64 = 1_500;

/// Returns a job of two steps, of which the second waits for the first.
fn two_steps(id: &str) -> Job {
    let mut two = job(id, 1, step(1, 2, 500));
    let mut second = step(1, 2, 500);
    second.after = [0].into_iter().collect();
    two.steps.push(second);
    two
}

pub(crate) fn silence(sim: &mut Simulation, worker: &str) {
    sim.workers.get_mut(worker).unwrap().is_unresponsive = true;
}

pub(crate) fn silence_ends(sim: &mut Simulation, worker: &str) {
    sim.workers.get_mut(worker).unwrap().is_unresponsive = false;
}

/// Adds an idle worker.
fn add_worker(sim: &mut Simulation) -> CompactString {
    let id: CompactString = "w0-9".into();
    let worker = FakeWorker::new(id.clone(), "r0".into());
    sim.workers.insert(id.clone(), worker);
    sim.refresh_entries();
    id
}

/// Starts a cluster in which a worker with a long task has been silent for some time; returns the names of that task's job
/// and worker. The task started so late that its job's progress does not name the worker.
pub(crate) fn with_silent_worker(silent_ms: u64) -> (Simulation, CompactString, CompactString) {
    let mut sim = Simulation::new(2, 2);
    sim.submit(job("x", 1, step(3, 8, 1_000)));
    sim.run_for(100);
    let long = sim.submit(job("a", 1, step(2, 8, 60_000)));
    sim.run_until(3_000, |sim| sim.workers_of(&long).len() == 2);
    sim.run_for(700);
    let silent = sim.worker_of_task(&format!("{long}.0.0.1"));
    silence(&mut sim, &silent);
    sim.run_for(silent_ms);
    (sim, long, silent)
}

/// Runs until a job is done; fails the test if it has nothing running for too long.
fn assert_runs_without_gap(sim: &mut Simulation, id: &CompactString) {
    let mut idle_ms = 0;
    while sim.state(id) != JobState::Done {
        sim.run_for(Simulation::STEP_MS);
        let is_idle = sim.workers_of(id).is_empty();
        idle_ms = if is_idle { idle_ms + Simulation::STEP_MS } else { 0 };
        assert!(
            idle_ms <= START_LIMIT_MS,
            "{id} has nothing running\n{}",
            sim.log_lines.join("\n")
        );
    }
}

/// Guards against a silent worker that keeps all jobs of former schedulers from starting beside idle workers, also after
/// another takeover and if the replies to writes were lost.
#[rstest]
#[case::one_takeover(1, 0)]
#[case::replies_lost(1, 3)]
#[case::two_takeovers(2, 0)]
#[case::five_takeovers(5, 0)]
fn job_that_never_ran_on_a_silent_worker_starts_at_once(#[case] takeovers: u32, #[case] lost_replies: u32) {
    let (mut sim, long, _) = with_silent_worker(100);
    sim.lose_commit_replies = lost_replies;
    sim.run_for(3_000);
    let waiting = sim.submit(two_steps("b"));
    sim.run_for(200);
    for _ in 0..takeovers {
        sim.take_over();
        sim.run_for(150);
    }
    assert_runs_without_gap(&mut sim, &waiting);
    sim.run_until(20_000, |sim| sim.starts_of(&format!("{long}.0.0.1")) == 2);
    sim.assert_no_violations();
}

/// Guards against a task on a silent worker that starts elsewhere while it may still run there.
#[rstest]
#[case::silent_for_a_moment(300)]
#[case::silent_for_some_time(3_000)]
#[case::lease_nearly_expired(5_900)]
fn task_on_a_silent_worker_waits_for_its_lease(#[case] silent_ms: u64) {
    let (mut sim, long, silent) = with_silent_worker(silent_ms);
    sim.take_over();
    let task = format!("{long}.0.0.1");
    while sim.workers_of(&long).contains(&silent) {
        assert_eq!(sim.starts_of(&task), 1, "{:?}", sim.starts);
        sim.run_for(Simulation::STEP_MS);
    }
    sim.run_until(12_000, |sim| sim.starts_of(&task) == 2);
    sim.assert_no_violations();
}

/// Guards against a start without a reply that a successor does not count although it may reach the silent worker late.
#[test]
fn late_start_on_a_silent_worker_is_counted() {
    for delay_ms in (500..6_000).step_by(250) {
        let mut sim = Simulation::new(1, 2);
        sim.start_delay_ms = Some(delay_ms);
        let id = sim.submit(job("a", 1, step(1, 8, 60_000)));
        sim.run_until(100, |sim| sim.starts.len() == 1);
        let silent = sim.starts[0].2.clone();
        silence(&mut sim, &silent);
        sim.run_for(3_000);
        sim.take_over();
        sim.run_until(12_000, |sim| sim.starts_of(&format!("{id}.0.0.0")) == 2);
        sim.run_for(7_000);
        sim.assert_no_violations();
    }
}

/// Guards against what is known of a silent worker outliving its reply: it gets new work, goes silent again, and the
/// successor does not know of that work.
#[test]
fn work_of_a_worker_that_replied_is_counted() {
    for used_ms in (0..1_500).step_by(50) {
        let mut sim = Simulation::new(1, 1);
        let worker: CompactString = "w0-0".into();
        silence(&mut sim, &worker);
        sim.run_for(3_000);
        sim.lose_commit_replies = (used_ms / 50 % 3) as u32;
        sim.workers.get_mut(&worker).unwrap().is_unresponsive = false;
        let id = sim.submit(job("a", 1, step(1, 8, 60_000)));
        sim.run_for(used_ms);
        let ran = sim.workers_of(&id).len();
        silence(&mut sim, &worker);
        let other = add_worker(&mut sim);
        sim.run_for(100);
        sim.take_over();
        sim.run_until(20_000, |sim| sim.workers_of(&id).contains(&other));
        sim.assert_no_violations();
        assert!(
            ran > 0 || used_ms < 500,
            "the worker was not used {used_ms} ms after its reply"
        );
    }
}

/// Guards against work on a worker that has replied while the store still says what it ran when it was silent.
#[test]
fn worker_gets_work_only_after_its_row_is_removed() {
    let mut sim = Simulation::new(1, 1);
    let worker: CompactString = "w0-0".into();
    silence(&mut sim, &worker);
    sim.run_for(1_500);
    let id = sim.submit(job("a", 1, step(1, 8, 60_000)));
    sim.run_for(1_500);
    sim.is_store_down = true;
    silence_ends(&mut sim, &worker);
    sim.run_for(600);
    silence(&mut sim, &worker);
    sim.is_store_down = false;
    let other = add_worker(&mut sim);
    sim.take_over();
    sim.run_until(20_000, |sim| sim.workers_of(&id).contains(&other));
    sim.assert_no_violations();
}

/// Guards against a row that outlived a scheduler of an older version, which does not read such rows: it used the worker
/// without removing the row.
#[test]
fn row_of_an_earlier_epoch_is_not_trusted() {
    let mut sim = Simulation::new(1, 1);
    let worker: CompactString = "w0-0".into();
    silence(&mut sim, &worker);
    sim.run_for(3_000);
    let unread = std::mem::take(&mut sim.last_runs);
    assert_eq!(unread.len(), 1);
    silence_ends(&mut sim, &worker);
    sim.take_over();
    let other = sim.submit(job("x", 1, step(1, 4, 300)));
    let id = sim.submit(job("a", 1, step(2, 4, 60_000)));
    sim.run_until(2_000, |sim| sim.state(&other) == JobState::Done);
    sim.run_for(300);
    silence(&mut sim, &worker);
    sim.run_for(100);
    sim.last_runs = unread;
    // An older version writes the bound as a number.
    sim.start_bound.as_mut().unwrap().are_runs_listed = false;
    let added = add_worker(&mut sim);
    sim.take_over();
    sim.run_until(20_000, |sim| sim.workers_of(&id).contains(&added));
    sim.assert_no_violations();
}

/// Guards against a worker that replies to the successor and whose runs were only read: they are adopted, and a run that
/// has ended meanwhile starts again.
#[rstest]
#[case::runs_on(false)]
#[case::process_restarted(true)]
fn worker_that_replies_to_the_successor_keeps_its_run(#[case] is_restarted: bool) {
    let (mut sim, long, silent) = with_silent_worker(3_000);
    sim.take_over();
    sim.run_for(300);
    if is_restarted {
        sim.restart(&silent);
    }
    silence_ends(&mut sim, &silent);
    sim.run_for(3_000);
    assert_eq!(sim.workers_of(&long).len(), 2);
    let starts = if is_restarted { 2 } else { 1 };
    assert_eq!(sim.starts_of(&format!("{long}.0.0.1")), starts, "{:?}", sim.starts);
    sim.assert_no_violations();
}

/// Guards against a job that waits again for a worker whose leases had expired before the takeover.
#[test]
fn task_of_an_expired_worker_waits_only_once() {
    let (mut sim, long, _) = with_silent_worker(100);
    let wide = sim.submit(job("c", 1, step(2, 8, 9_000)));
    sim.run_until(12_000, |sim| {
        sim.log_lines.iter().any(|line| line.contains("worker_expired"))
    });
    sim.run_for(100);
    sim.take_over();
    sim.run_until(12_000, |sim| sim.state(&wide) == JobState::Done);
    let waited_ms = sim.run_until(START_LIMIT_MS, |sim| sim.workers_of(&long).len() == 2);
    assert!(waited_ms < START_LIMIT_MS, "{waited_ms} ms");
    sim.assert_no_violations();
}

/// Guards against members of a gang that start again while one of them may still run on a silent worker.
#[test]
fn gang_with_a_member_on_a_silent_worker_restarts_as_a_whole() {
    for silent_ms in (200..6_200).step_by(400) {
        let mut sim = Simulation::new(2, 4);
        let mut gang = step(3, 8, 12_000);
        gang.is_gang = true;
        let id = sim.submit(job("a", 1, gang));
        sim.run_for(500);
        let silent = sim.workers_of(&id)[0].clone();
        silence(&mut sim, &silent);
        sim.run_for(silent_ms);
        sim.take_over();
        sim.run_until(60_000, |sim| sim.state(&id) == JobState::Done);
        sim.assert_no_violations();
    }
}

/// Guards against the rule for workers about which nothing could be written: the store was down when they went silent.
#[test]
fn unrecorded_silence_holds_the_jobs_of_former_schedulers() {
    let (mut sim, long, silent) = with_silent_worker(0);
    sim.is_store_down = true;
    sim.run_for(3_000);
    sim.is_store_down = false;
    sim.take_over();
    let task = format!("{long}.0.0.1");
    while sim.workers_of(&long).contains(&silent) {
        assert_eq!(sim.starts_of(&task), 1, "{:?}", sim.starts);
        sim.run_for(Simulation::STEP_MS);
    }
    sim.run_until(12_000, |sim| sim.starts_of(&task) == 2);
    sim.assert_no_violations();
}

/// Guards against a write that is too large because many workers go silent at once, and against jobs that wait for it.
#[test]
fn many_silent_workers_are_recorded_in_several_writes() {
    let mut sim = Simulation::new(12, 10);
    let wide = sim.submit(job("a", 1, step(110, 8, 60_000)));
    sim.run_until(5_000, |sim| sim.workers_of(&wide).len() == 110);
    let workers = sim.workers_of(&wide);
    for worker in &workers {
        silence(&mut sim, worker);
    }
    sim.run_for(3_500);
    let waiting = sim.submit(two_steps("b"));
    sim.run_for(200);
    sim.take_over();
    assert_runs_without_gap(&mut sim, &waiting);
    for worker in &workers {
        silence_ends(&mut sim, worker);
    }
    sim.run_for(1_000);
    assert_eq!(sim.starts.len(), 112, "tasks started twice or not at all");
    sim.assert_no_violations();
}

/// Guards against all jobs waiting for a lease because one worker was lost together with the scheduler, before its runs
/// were written. Listed in KNOWN-RED.txt.
#[test]
fn worker_lost_with_the_scheduler_holds_no_other_job() {
    let (mut sim, _, _) = with_silent_worker(300);
    let waiting = sim.submit(two_steps("c"));
    sim.run_for(200);
    sim.take_over();
    assert_runs_without_gap(&mut sim, &waiting);
    sim.assert_no_violations();
}

/// Guards against a takeover that begins the wait for the lease of a silent worker anew, although that lease has not been
/// renewed since the worker went silent.
#[test]
fn takeover_does_not_prolong_the_wait_for_a_silent_worker() {
    const LEASE_EXPIRY_MS: u64 = 6_300;
    let (mut sim, long, _) = with_silent_worker(3_500);
    sim.take_over();
    let task = format!("{long}.0.0.1");
    let took_ms = sim.run_until(20_000, |sim| sim.starts_of(&task) == 2);
    // The row was written two seconds after the worker went silent; its age is not known to the successor.
    assert!(took_ms < LEASE_EXPIRY_MS - 1_000, "{took_ms}");
    sim.assert_no_violations();
}
