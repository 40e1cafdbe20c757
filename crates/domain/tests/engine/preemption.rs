//! Load patterns in which urgent work meets a full cluster: which running work is stopped for it.

use domain::JobState;

use crate::world::{World, job, step};

/// Guards against counting a gang once a member: stopping one member ends all, so their room comes at one price.
///
/// One rack holds single tasks that have run for long, the other a wide gang that began a moment ago.
#[test]
fn wide_urgent_gang_takes_the_place_of_one_young_gang() {
    let mut world = World::new(2, 4);
    let old: Vec<_> = (0..4)
        .map(|number| {
            let mut single = step(1, 8, 60_000);
            single.data_rack = Some("r0".into());
            world.submit(job(&format!("{number}"), 2, single))
        })
        .collect();
    world.run_for(2_000);
    let mut gang = step(4, 8, 60_000);
    gang.is_gang = true;
    gang.is_same_rack = true;
    let young = world.submit(job("abc", 2, gang.clone()));
    world.run_for(1_500);
    assert_eq!(world.workers_of(&young).len(), 4);
    gang.estimate_ms = 500;
    let mut urgent = job("def", 0, gang);
    urgent.objective_ms = 250;
    let id = world.submit(urgent);
    world.run_until(2_700, |world| world.workers_of(&id).len() == 4);
    assert!(old.iter().all(|id| world.workers_of(id).len() == 1));
    assert_eq!(
        (world.workers_of(&young).len(), world.state(&young)),
        (0, JobState::Running)
    );
    world.assert_sound();
}

/// Guards against victims that are needless once a later, larger one is chosen.
#[test]
fn urgent_task_as_wide_as_a_worker_stops_no_more_than_one_worker_runs() {
    let mut world = World::new(1, 1);
    let narrow = world.submit(job("abc", 2, step(2, 1, 60_000)));
    world.run_for(1_000);
    let wide = world.submit(job("def", 2, step(1, 6, 60_000)));
    world.run_for(2_000);
    assert_eq!(world.workers_of(&narrow), world.workers_of(&wide));
    let mut urgent = job("a1", 0, step(1, 6, 500));
    urgent.objective_ms = 250;
    let id = world.submit(urgent);
    world.run_until(2_700, |world| !world.workers_of(&id).is_empty());
    assert_eq!(world.workers_of(&narrow).len(), 1);
    let restarted = world
        .starts
        .iter()
        .filter(|(_, task, _)| task.starts_with(narrow.as_str()));
    assert_eq!(restarted.count(), 2);
    world.assert_sound();
}
