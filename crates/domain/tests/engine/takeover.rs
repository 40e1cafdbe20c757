//! A new holder that knows only the store and the workers.

use domain::JobState;

use crate::world::{World, job, step};

/// Guards against a successor that takes runs for unknown because workers answer before the rows are read: it stopped
/// them, and placed new work on capacity that they still occupied.
#[test]
fn successor_adopts_what_runs() {
    let mut world = World::new(1, 2);
    let id = world.submit(job("a", 1, step(4, 4, 5_000)));
    world.run_for(1_000);
    assert_eq!(world.engine.stats().running, 4);
    world.take_over();
    world.run_until(6_000, |world| world.state(&id) == JobState::Done);
    world.assert_sound();
    assert_eq!(world.starts.len(), 4, "{:?}", world.starts);
}

/// Guards against new work on the capacity of a job that ended just before the takeover and whose runs still stop.
#[test]
fn runs_of_final_jobs_occupy_their_worker_until_they_end() {
    let mut world = World::new(1, 1);
    let old = world.submit(job("a", 1, step(2, 4, 60_000)));
    world.run_for(500);
    world.cancel(&old);
    world.run_until(100, |world| world.state(&old) == JobState::Cancelled);
    let new = world.submit(job("b", 1, step(2, 4, 500)));
    world.take_over();
    world.run_until(3_000, |world| world.state(&new) == JobState::Done);
    world.assert_sound();
}

/// Guards against a second run of a task that still runs on a worker which the successor cannot reach.
#[test]
fn work_on_silent_workers_waits_for_its_lease() {
    let mut world = World::new(1, 2);
    let id = world.submit(job("a", 1, step(2, 8, 3_000)));
    world.run_for(300);
    let silent = world.workers_of(&id)[0].clone();
    world.workers.get_mut(&silent).unwrap().is_silent = true;
    world.take_over();
    world.run_until(20_000, |world| world.state(&id) == JobState::Done);
    world.assert_sound();
}

/// Guards against waiting jobs that a successor holds back for a worker that left in good order and answers nobody.
#[test]
fn worker_that_left_empty_holds_no_job_back() {
    let mut world = World::new(1, 2);
    let first = world.submit(job("a", 1, step(2, 8, 500)));
    world.run_until(2_000, |world| world.state(&first) == JobState::Done);
    let leaving: compact_str::CompactString = "w0-1".into();
    world.workers.get_mut(&leaving).unwrap().is_draining = true;
    world.refresh_entries();
    world.run_for(1_000);
    let gone = world.workers.get_mut(&leaving).unwrap();
    gone.is_silent = true;
    gone.is_listed = false;
    // The former scheduler does not live to see the entry go.
    let waiting = world.submit(job("b", 1, step(1, 8, 500)));
    world.take_over();
    world.run_until(1_000, |world| world.state(&waiting) == JobState::Done);
    world.assert_sound();
}

/// Guards against jobs that wait for silent workers although no former scheduler can have started them: it lost the
/// store before it saw them.
#[test]
fn job_that_the_former_scheduler_never_saw_starts_at_once() {
    let mut world = World::new(2, 2);
    let first = world.submit(job("a", 1, step(4, 8, 60_000)));
    world.run_for(500);
    for worker in ["w0-0", "w0-1"] {
        world.workers.get_mut(worker).unwrap().is_silent = true;
    }
    world.cancel(&first);
    world.run_for(300);
    // The former scheduler is cut off; its epoch is still the newest.
    world.is_store_down = true;
    let unseen = world.submit(job("b", 1, step(1, 8, 500)));
    world.run_for(100);
    world.is_store_down = false;
    world.take_over();
    world.run_until(1_000, |world| world.state(&unseen) == JobState::Done);
    world.assert_sound();
}

/// Guards against a bound of starts that a successor lowers before it has read what its predecessor started.
#[test]
fn bound_of_starts_never_falls_below_what_was_started() {
    let mut world = World::new(1, 2);
    world.is_store_down = true;
    let id = world.submit(job("a", 1, step(1, 8, 20_000)));
    world.run_for(200);
    // The failed write opened the bound.
    world.is_store_down = false;
    world.run_until(1_000, |world| !world.workers_of(&id).is_empty());
    assert_eq!(world.start_bound, Some(u64::MAX));
    let inserted = world.store[&id].inserted_version;
    world.take_over();
    for _ in 0..800 {
        world.run_for(10);
        assert!(world.start_bound >= Some(inserted), "{:?}", world.start_bound);
    }
    assert_eq!(world.start_bound, Some(inserted));
    world.assert_sound();
}

/// Guards against a gang that goes on in parts after a takeover.
#[test]
fn gang_that_is_not_found_whole_starts_again() {
    let mut world = World::new(1, 4);
    let mut gang = step(3, 8, 4_000);
    gang.is_gang = true;
    let id = world.submit(job("a", 1, gang));
    world.run_for(500);
    let gone = world.workers_of(&id)[0].clone();
    let now_ms = world.now_ms;
    world.workers.get_mut(&gone).unwrap().restart(now_ms);
    world.take_over();
    world.run_until(20_000, |world| world.state(&id) == JobState::Done);
    world.assert_sound();
}

/// Guards against a second run of a gang's member: the successor had given the gang up for another member, so it took
/// the run that answered late for a stranger and did not wait for its end.
#[test]
fn late_answer_of_a_gang_that_is_given_up_is_waited_for() {
    for silence_ms in (2_600..3_300).step_by(20) {
        let mut world = World::new(1, 3);
        let mut gang = step(3, 4, 20_000);
        gang.is_gang = true;
        gang.max_per_worker = 1;
        let id = world.submit(job("a", 1, gang));
        world.run_for(500);
        let workers = world.workers_of(&id);
        let now_ms = world.now_ms;
        world.workers.get_mut(&workers[0]).unwrap().restart(now_ms);
        world.workers.get_mut(&workers[2]).unwrap().is_silent = true;
        world.take_over();
        world.run_for(silence_ms);
        world.workers.get_mut(&workers[2]).unwrap().is_silent = false;
        world.run_for(3_000);
        world.assert_sound();
        assert_eq!(world.workers_of(&id).len(), 3, "after {silence_ms} ms of silence");
    }
}
