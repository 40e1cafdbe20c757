//! Jobs on sound workers.

use domain::{JobState, TaskName};
use rstest::rstest;

use crate::world::{World, job, step};

#[test]
fn job_of_dependent_steps_runs_in_order() {
    let mut world = World::new(1, 2);
    let mut dependent = job("a", 1, step(3, 1, 400));
    let mut second = step(2, 1, 300);
    second.after = [0].into_iter().collect();
    dependent.steps.push(second);
    let id = world.submit(dependent);
    let elapsed_ms = world.run_until(2_000, |world| world.state(&id) == JobState::Done);
    assert!(elapsed_ms >= 700, "{elapsed_ms}");
    world.assert_sound();
    let steps: Vec<_> = world
        .starts
        .iter()
        .map(|(_, task, _)| task.parse::<TaskName>().unwrap().step)
        .collect();
    assert_eq!(steps, [0, 0, 0, 1, 1]);
}

#[rstest]
#[case::same_rack(true, 1)]
#[case::anywhere(false, 2)]
fn gang_keeps_to_one_rack_if_it_has_to(#[case] is_same_rack: bool, #[case] most_racks: usize) {
    let mut world = World::new(2, 4);
    let mut gang = step(4, 8, 500);
    gang.is_gang = true;
    gang.is_same_rack = is_same_rack;
    let id = world.submit(job("a", 1, gang));
    world.run_for(100);
    let mut racks: Vec<_> = world
        .workers_of(&id)
        .iter()
        .map(|worker| world.workers[worker].rack.clone())
        .collect();
    racks.sort();
    racks.dedup();
    assert!(racks.len() <= most_racks && !racks.is_empty(), "{racks:?}");
    world.run_until(2_000, |world| world.state(&id) == JobState::Done);
    world.assert_sound();
}

#[test]
fn at_most_the_allowed_number_of_tasks_runs_on_a_worker() {
    let mut world = World::new(1, 4);
    let mut apart = step(4, 1, 500);
    apart.max_per_worker = 1;
    let id = world.submit(job("a", 1, apart));
    world.run_for(100);
    assert_eq!(world.workers_of(&id).len(), 4);
    world.assert_sound();
}

#[test]
fn task_that_fails_as_often_as_it_may_fails_its_job() {
    let mut world = World::new(1, 2);
    for worker in world.workers.values_mut() {
        worker.fails_all = true;
    }
    let id = world.submit(job("a", 1, step(1, 1, 500)));
    world.run_until(10_000, |world| world.state(&id) == JobState::Failed);
    assert_eq!(world.starts.len(), 3);
    world.assert_sound();
}

/// Guards against charges that nothing durable traces back to a run and its worker, once the worker forgot the end.
#[test]
fn every_run_leaves_a_durable_record() {
    let mut world = World::new(1, 2);
    world.workers.get_mut("w0-0").unwrap().fails_all = true;
    let mut many = job("a", 1, step(250, 1, 300));
    many.attempts = 100;
    let many = world.submit(many);
    let mut gang = step(2, 4, 500);
    gang.is_gang = true;
    let mut together = job("b", 1, gang);
    together.attempts = 100;
    let together = world.submit(together);
    world.run_for(1_000);
    world.workers.get_mut("w0-0").unwrap().fails_all = false;
    world.take_over();
    world.run_until(60_000, |world| {
        [&many, &together].iter().all(|id| world.state(id) == JobState::Done)
    });
    world.run_for(1_000);
    for id in [&many, &together] {
        let mut started: Vec<_> = world
            .starts
            .iter()
            .filter(|(_, task, _)| task.starts_with(id.as_str()))
            .map(|(_, task, worker)| (task.parse::<TaskName>().unwrap().index, worker.clone()))
            .collect();
        let mut recorded: Vec<_> = world
            .records_of(id)
            .into_iter()
            .map(|record| (record.index, record.worker))
            .collect();
        started.sort();
        recorded.sort();
        assert_eq!(started, recorded);
    }
    world.assert_sound();
}

/// Guards against rows that stay for ever, which a new scheduler would have to read, and against jobs that go too soon.
#[rstest]
#[case::same_scheduler(false)]
#[case::after_a_takeover(true)]
fn rows_of_a_final_job_go_after_a_time(#[case] takes_over: bool) {
    let mut world = World::new(1, 1);
    let old = world.submit(job("a", 1, step(2, 1, 300)));
    world.run_until(2_000, |world| world.state(&old) == JobState::Done);
    world.run_for(300);
    if takes_over {
        world.take_over();
    }
    let keep_ms = domain::Limits::default().keep_finished_ms;
    world.run_for(keep_ms - 10_000);
    assert!(world.store.contains_key(&old));
    let open = world.submit(job("b", 1, step(1, 1, 60_000)));
    world.run_for(11_000);
    assert!(!world.store.contains_key(&old) && world.store.contains_key(&open));
    assert_eq!(world.records_of(&old).len(), 2);
    world.assert_sound();
}

#[test]
fn cancelled_job_leaves_its_workers() {
    let mut world = World::new(1, 1);
    let id = world.submit(job("a", 1, step(4, 1, 60_000)));
    world.run_for(200);
    world.cancel(&id);
    world.run_for(500);
    assert_eq!(
        (world.state(&id), world.engine.stats().running),
        (JobState::Cancelled, 0)
    );
    world.assert_sound();
}

/// Guards against an urgent job that misses its objective because later work holds the room, whatever that work costs.
#[rstest]
#[case::little_is_lost(true, 500)]
#[case::much_is_lost(false, 1_750)]
fn urgent_job_takes_the_room_of_later_ones(#[case] saves: bool, #[case] start_within_ms: u64) {
    let mut world = World::new(1, 2);
    let mut background = step(2, 8, 60_000);
    background.saves_checkpoints = saves;
    let long = world.submit(job("a", 2, background));
    world.run_for(2_000);
    let mut urgent = job("b", 0, step(1, 8, 500));
    urgent.objective_ms = 250;
    let objective_ms = 3 * 500 + 250;
    let id = world.submit(urgent);
    let started_ms = world.run_until(start_within_ms, |world| !world.workers_of(&id).is_empty());
    let ended_ms = started_ms + world.run_until(2_000, |world| world.state(&id) == JobState::Done);
    assert!(ended_ms <= objective_ms, "{ended_ms} of {objective_ms} ms");
    world.run_until(2_000, |world| world.workers_of(&long).len() == 2);
    world.assert_sound();
}

/// Guards against freed capacity that goes to waiting small work while stops for a wide urgent gang are still listed.
/// The bound is the guarantee's, or that of a few stops where these lose little.
#[rstest]
#[case::little_is_lost(true, 600)]
#[case::much_is_lost(false, 2_700)]
fn wide_urgent_gang_keeps_the_room_made_for_it(#[case] saves: bool, #[case] start_within_ms: u64) {
    let mut world = World::new(2, 8);
    for number in 0..8 {
        let mut small = step(40, 1, 3_000 + 700 * number);
        small.saves_checkpoints = saves;
        world.submit(job(&format!("{number}"), 2, small));
    }
    world.run_for(2_000);
    let mut gang = step(6, 8, 500);
    gang.is_gang = true;
    gang.is_same_rack = true;
    let mut urgent = job("abc", 0, gang);
    urgent.objective_ms = 60_000;
    let id = world.submit(urgent);
    world.run_until(start_within_ms, |world| world.workers_of(&id).len() == 6);
    world.assert_sound();
}

/// Guards against a transaction with more entries than the store takes: it was refused for ever, and no end of any job
/// became durable.
#[test]
fn many_jobs_that_start_together_fit_into_transactions() {
    let mut world = World::new(8, 8);
    for number in 0..60 {
        world.submit(job(&format!("{number}"), 1, step(2, 1, 300)));
    }
    world.run_until(3_000, |world| {
        world
            .store
            .values()
            .all(|stored| stored.progress.state == JobState::Done)
    });
    world.assert_sound();
}

/// Guards against work that is never looked at because many units before it cannot be placed.
#[test]
fn long_queue_of_blocked_work_hides_nobody() {
    let mut world = World::new(1, 2);
    for number in 0..400 {
        let mut impossible = step(1, 1, 500);
        impossible.required_label = Some("no-such-kind".into());
        world.submit(job(&format!("{number}"), 0, impossible));
    }
    let id = world.submit(job("abcdef", 2, step(2, 1, 300)));
    world.run_until(3_000, |world| world.state(&id) == JobState::Done);
    world.assert_sound();
}
