//! The feed of jobs delivers nothing, so that the scheduler does not hear of cancellations.

use domain::JobState;
use rstest::rstest;

use crate::simulation::{Simulation, job, step};

/// Time of silence after which a cancellation may have gone unread for too long.
const SILENCE_MS: u64 = 2_500;

/// Guards against tasks of cancelled jobs that start because the scheduler has not read the cancellation, also if they
/// were placed before the silence and only their runs are not listed yet.
#[rstest]
#[case::no_room_before(false)]
#[case::placed_and_not_sent(true)]
fn nothing_starts_while_the_feed_of_jobs_is_too_old(#[case] is_placed_before: bool) {
    let mut sim = Simulation::new(1, 1);
    let first = sim.submit(job("a", 1, step(1, 8, 3_000)));
    sim.run_until(500, |sim| !sim.workers_of(&first).is_empty());
    let [cancelled, kept] = ["b", "c"].map(|id| sim.submit(job(id, 1, step(1, 4, 500))));
    sim.run_for(200);
    if is_placed_before {
        // The rows that list the runs cannot be written.
        sim.is_store_down = true;
        sim.run_until(5_000, |sim| sim.workers_of(&first).is_empty());
        sim.run_for(200);
    }
    sim.is_job_feed_silent = true;
    sim.run_for(Simulation::STEP_MS);
    sim.cancel(&cancelled);
    sim.run_for(SILENCE_MS);
    sim.is_store_down = false;
    sim.run_for(2_000);
    assert_eq!(sim.starts.len(), 1, "{:?}", sim.starts);
    assert!(sim.log_lines.iter().any(|line| line.contains("jobs_stale")));
    sim.restore_job_feed();
    sim.run_until(2_000, |sim| sim.state(&kept) == JobState::Done);
    assert_eq!(sim.starts.len(), 2, "{:?}", sim.starts);
    assert_eq!(sim.state(&cancelled), JobState::Cancelled);
    sim.assert_no_violations();
}

/// Guards against starts that wait although the feed is only short of a reply.
#[test]
fn short_silence_of_the_feed_delays_no_start() {
    let mut sim = Simulation::new(1, 1);
    sim.run_for(500);
    let id = sim.submit(job("a", 1, step(1, 8, 500)));
    sim.is_job_feed_silent = true;
    sim.run_until(1_500, |sim| sim.state(&id) == JobState::Done);
    sim.assert_no_violations();
}
