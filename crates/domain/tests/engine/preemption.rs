//! Load patterns in which urgent work meets a full cluster: which running work is stopped for it.

use domain::JobState;
use rstest::rstest;

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

/// Guards against an order of work that goes by declared run times which tell nothing, and against one that distrusts
/// good ones.
///
/// The objective of the last job is three times its expected run time and one second.
#[rstest]
#[case::worthless(Some(1_000), 9_000, 3_400..5_500)]
#[case::exact(None, 5_000, 15_000..16_500)]
fn declared_run_times_count_as_far_as_they_were_right(
    #[case] real_work_ms: Option<u64>,
    #[case] declared_ms: u64,
    #[case] objective_ms: std::ops::Range<u64>,
) {
    let mut world = World::new(1, 8);
    for worker in world.workers.values_mut() {
        worker.real_work_ms = real_work_ms;
    }
    let declared = [
        300, 4_000, 9_000, 700, 2_000, 150, 6_000, 1_000, 3_000, 500, 8_000, 1_500,
    ];
    for (number, declared_ms) in declared.into_iter().enumerate() {
        world.submit(job(&format!("{number}"), 1, step(1, 1, declared_ms)));
    }
    world.run_for(10_000);
    let last = world.submit(job("abc", 1, step(1, 1, declared_ms)));
    world.run_until(10_000, |world| world.state(&last) == JobState::Done);
    let line = format!("job_done job={last} ");
    let note = world.notes.iter().find(|note| note.contains(&line)).unwrap();
    let objective = note.split("objective_ms=").nth(1).unwrap().split(' ').next().unwrap();
    assert!(objective_ms.contains(&objective.parse().unwrap()), "{note}");
    world.assert_sound();
}
