//! Lost, late and doubled orders, silent and reborn workers, lost writes.

use domain::JobState;
use rstest::rstest;

use crate::world::{World, job, step};

/// Guards against a doubled run when a start gets no reply and takes effect later.
#[rstest]
#[case::never_arrives(None)]
#[case::arrives_at_once(Some(0))]
#[case::arrives_after_the_stop(Some(700))]
#[case::arrives_much_later(Some(5_000))]
fn start_without_reply_runs_once(#[case] delay_ms: Option<u64>) {
    let mut world = World::new(1, 2);
    match delay_ms {
        Some(delay_ms) => world.late_start_ms = Some(delay_ms),
        None => world.lose_starts = 1,
    }
    let id = world.submit(job("a", 1, step(1, 8, 2_000)));
    world.run_until(8_000, |world| world.state(&id) == JobState::Done);
    world.run_for(8_000);
    world.assert_sound();
}

/// Guards against gangs of which a part runs: one start is lost, so all others have to end.
#[test]
fn gang_with_a_lost_start_starts_again_whole() {
    let mut world = World::new(1, 4);
    let mut gang = step(4, 8, 1_000);
    gang.is_gang = true;
    world.lose_starts = 1;
    let id = world.submit(job("a", 1, gang));
    world.run_until(6_000, |world| world.state(&id) == JobState::Done);
    world.assert_sound();
}

/// Guards against a run elsewhere before the lease of a silent worker has surely expired.
#[test]
fn silent_worker_keeps_its_tasks_until_its_lease_expired() {
    let mut world = World::new(1, 2);
    let id = world.submit(job("a", 1, step(1, 8, 20_000)));
    world.run_for(1_000);
    let silent = world.workers_of(&id)[0].clone();
    world.workers.get_mut(&silent).unwrap().is_silent = true;
    world.run_for(5_000);
    assert_eq!(world.starts.len(), 1);
    world.run_until(4_000, |world| world.starts.len() == 2);
    world.assert_sound();
}

/// Guards against waiting for runs that a restarted worker has forgotten.
#[test]
fn restarted_worker_frees_its_tasks_at_once() {
    let mut world = World::new(1, 2);
    let id = world.submit(job("a", 1, step(1, 8, 3_000)));
    world.run_for(1_000);
    let worker = world.workers_of(&id)[0].clone();
    let now_ms = world.now_ms;
    world.workers.get_mut(&worker).unwrap().restart(now_ms);
    world.run_until(2_000, |world| world.starts.len() == 2);
    world.run_until(6_000, |world| world.state(&id) == JobState::Done);
    world.assert_sound();
}

/// Guards against ends that are forgotten by the worker before they are durable, and against lost ends.
#[rstest]
#[case::reply_lost(false)]
#[case::store_down(true)]
fn end_survives_a_failed_write_and_a_takeover(#[case] is_store_down: bool) {
    let mut world = World::new(1, 2);
    let id = world.submit(job("a", 1, step(3, 2, 1_000)));
    world.run_for(500);
    world.is_store_down = is_store_down;
    world.lose_commits = 3;
    world.run_for(1_500);
    world.is_store_down = false;
    world.take_over();
    world.run_until(5_000, |world| world.state(&id) == JobState::Done);
    assert_eq!(world.starts.len(), 3, "{:?}", world.starts);
    world.assert_sound();
}

/// Guards against a failure that counts twice because it was listed again after a takeover.
#[test]
fn failure_counts_once_over_a_takeover() {
    let mut world = World::new(1, 3);
    for worker in world.workers.values_mut() {
        worker.fails_all = true;
    }
    let id = world.submit(job("a", 1, step(1, 1, 500)));
    world.lose_commits = 2;
    world.run_until(1_000, |world| world.engine.stats().failed == 1);
    for worker in world.workers.values_mut() {
        worker.fails_all = false;
    }
    world.take_over();
    world.run_until(5_000, |world| world.state(&id) == JobState::Done);
    world.assert_sound();
}

/// Guards against work for a worker that fails everything while others are sound.
#[test]
fn worker_that_fails_everything_is_excluded() {
    let mut world = World::new(1, 3);
    let failing = world.workers.values_mut().next().unwrap();
    failing.fails_all = true;
    let failing = failing.id.clone();
    for number in 0..20 {
        world.submit(job(&format!("{number}"), 1, step(1, 2, 400)));
        world.run_for(100);
    }
    world.run_for(3_000);
    assert!(
        world
            .store
            .values()
            .all(|stored| stored.progress.state == JobState::Done)
    );
    let tries = world.starts.iter().filter(|(_, _, worker)| *worker == failing).count();
    assert!(tries <= 6, "{tries} starts on the failing worker");
    world.assert_sound();
}

/// Guards against work that is lost with a leaving worker, and noticed only when its lease has expired.
#[rstest]
#[case::saved(true)]
#[case::not_saved(false)]
fn work_that_cannot_end_in_time_moves_off_a_leaving_worker(#[case] saves: bool) {
    let mut world = World::new(1, 2);
    let mut long = step(1, 8, 9_000);
    long.saves_checkpoints = saves;
    let id = world.submit(job("a", 1, long));
    world.run_for(4_000);
    let leaving = world.workers_of(&id)[0].clone();
    world.workers.get_mut(&leaving).unwrap().is_draining = true;
    world.refresh_entries();
    let elapsed_ms = world.run_until(1_000, |world| world.starts.len() == 2);
    assert!(elapsed_ms < 400, "{elapsed_ms}");
    let left_ms = world.run_until(10_000, |world| world.state(&id) == JobState::Done);
    assert!(!saves || left_ms < 6_000, "{left_ms}");
    world.assert_sound();
}

/// Guards against a leaving worker that is emptied although its work ends in time.
#[test]
fn work_that_ends_in_time_stays_on_a_leaving_worker() {
    let mut world = World::new(1, 2);
    let id = world.submit(job("a", 1, step(1, 8, 2_500)));
    world.run_for(1_500);
    let leaving = world.workers_of(&id)[0].clone();
    world.workers.get_mut(&leaving).unwrap().is_draining = true;
    world.refresh_entries();
    world.run_until(1_500, |world| world.state(&id) == JobState::Done);
    assert_eq!(world.starts.len(), 1);
    world.assert_sound();
}

/// Guards against tasks that wait on a worker that stands still while others are free.
#[test]
fn work_moves_off_a_worker_that_stands_still() {
    let mut world = World::new(1, 4);
    for number in 0..10 {
        world.submit(job(&format!("{number}"), 0, step(1, 2, 800)));
        world.run_for(300);
    }
    let id = world.submit(job("abc", 0, step(1, 2, 2_000)));
    world.run_for(900);
    let standing = world.workers_of(&id)[0].clone();
    world.workers.get_mut(&standing).unwrap().hangs = true;
    let elapsed_ms = world.run_until(5_000, |world| world.state(&id) == JobState::Done);
    assert!(elapsed_ms < 4_500, "{elapsed_ms}");
    world.assert_sound();
}

/// Guards against gang after gang that stands still on the same bad worker: its members say nothing about which it is.
#[test]
fn gangs_keep_off_the_workers_of_one_that_stood_still() {
    let mut world = World::new(1, 12);
    for number in 0..10 {
        world.submit(job(&format!("{number}"), 0, step(1, 2, 800)));
        world.run_for(300);
    }
    world.run_for(2_000);
    let mut gang = step(4, 8, 2_000);
    gang.is_gang = true;
    let first = world.submit(job("abc", 0, gang.clone()));
    world.run_for(900);
    let workers = world.workers_of(&first);
    // Members of a real gang wait for the slowest; here each stands still by itself.
    for worker in &workers {
        world.workers.get_mut(worker).unwrap().hangs = true;
    }
    world.run_until(5_000, |world| {
        let now = world.workers_of(&first);
        !now.is_empty() && now.iter().all(|worker| !workers.contains(worker))
    });
    let second = world.submit(job("def", 0, gang));
    let elapsed_ms = world.run_until(8_000, |world| world.state(&second) == JobState::Done);
    assert!(elapsed_ms < 2_500, "{elapsed_ms}");
    world.assert_sound();
}

/// Guards against a second run of a task whose start reached the new incarnation of a worker that kept its id, before
/// a report showed that it had started again (soak, seed 304).
#[test]
fn start_that_reaches_a_reborn_worker_is_kept() {
    for delay_ms in (0..800).step_by(10) {
        let mut world = World::new(1, 2);
        world.has_old_reports = true;
        let old = world.submit(job("a", 1, step(1, 2, 5_000)));
        world.run_for(1_000);
        let worker = world.workers_of(&old)[0].clone();
        let now_ms = world.now_ms;
        world.workers.get_mut(&worker).unwrap().restart(now_ms);
        world.run_for(delay_ms);
        let new = world.submit(job("b", 1, step(3, 2, 1_500)));
        world.run_until(9_000, |world| {
            world.state(&old) == JobState::Done && world.state(&new) == JobState::Done
        });
        world.assert_sound();
    }
}
