//! Life cycle of a job without faults. Guards against a job that never ends and an incomplete answer.

use crate::common::{FirstFitSimulation, Step, check, job};
use model::{JobState, Outcome};
use rstest::rstest;

fn state(sim: &FirstFitSimulation, request: &str) -> JobState {
    sim.table.rows[&format!("org/{request}").parse().unwrap()].0.state
}

#[rstest]
#[case::single(job("single", false, 1, 3_000))]
#[case::gang(job("gang", false, 9, 3_000))]
#[case::short(job("short", true, 2, 0))]
fn deferred_job_runs_from_submission_to_answer(#[case] spec: model::JobSpec) {
    let mut sim = FirstFitSimulation::new(4, None);
    sim.run_until(1_000);
    let id = spec.id();
    sim.submit(spec);
    sim.run_until(8_000);
    assert_eq!(check(&sim), Vec::<String>::new());
    assert_eq!(state(&sim, id.request.as_str()), JobState::Finished);
    let [(_, Outcome::Ran { .. })] = &sim.outcomes[..] else {
        panic!("{:?}", sim.outcomes)
    };
    assert_eq!(sim.jobs_in_memory(), 0, "finished jobs are dropped");
}

#[test]
fn checkpointed_job_resumes() {
    let mut sim = FirstFitSimulation::new(2, None);
    sim.run_until(1_000);
    sim.submit(job("long", false, 2, 5_000).checkpointable(true));
    sim.schedule_step(3_000, Step::Checkpoint);
    sim.run_until(20_000);
    assert_eq!(check(&sim), Vec::<String>::new());
    assert_eq!(state(&sim, "long"), JobState::Finished);
    assert_eq!(
        sim.workers
            .iter()
            .flat_map(|w| &w.start_log)
            .filter(|s| s.is_resumed)
            .count(),
        2
    );
    assert_eq!(
        sim.table.charges.len(),
        2,
        "the checkpointed and the finished attempt are charged"
    );
}
