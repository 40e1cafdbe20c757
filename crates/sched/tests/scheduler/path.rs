//! Path of a job without faults: a job that never ends, or an answer that is not whole, must be seen here first.

use crate::common::{Step, World, check, job};
use model::{JobState, Outcome};
use rstest::rstest;

fn state(world: &World, request: &str) -> JobState {
    world.table.rows[&format!("org/{request}").parse().unwrap()].0.state
}

#[rstest]
#[case::single(job("single", false, 1, 3_000))]
#[case::gang(job("gang", false, 9, 3_000))]
#[case::short(job("short", true, 2, 0))]
fn deferred_job_runs_from_submission_to_answer(#[case] spec: model::JobSpec) {
    let mut world = World::new(4, None);
    world.run(1_000);
    let id = spec.id();
    world.submit(spec);
    world.run(8_000);
    assert_eq!(check(&world), Vec::<String>::new());
    assert_eq!(state(&world, id.request.as_str()), JobState::Finished);
    let [(_, Outcome::Ran { .. })] = &world.outcomes[..] else {
        panic!("{:?}", world.outcomes)
    };
    assert_eq!(world.jobs_in_memory(), 0, "finished jobs are dropped");
}

#[test]
fn checkpointed_job_resumes() {
    let mut world = World::new(2, None);
    world.run(1_000);
    world.submit(job("long", false, 2, 5_000).checkpointable(true));
    world.reach_at(3_000, Step::Checkpoint);
    world.run(20_000);
    assert_eq!(check(&world), Vec::<String>::new());
    assert_eq!(state(&world, "long"), JobState::Finished);
    assert_eq!(
        world
            .workers
            .iter()
            .flat_map(|w| &w.log)
            .filter(|s| s.is_resumed)
            .count(),
        2
    );
    assert_eq!(
        world.table.charges.len(),
        2,
        "the checkpointed and the finished attempt are charged"
    );
}
