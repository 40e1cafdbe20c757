//! Large payloads of waiting jobs.

use crate::common::{FirstFitSimulation, check, job};
use model::{JobState, Outcome, Refusal};

/// Guards against a queue of large payloads that takes the memory of the process. Small payloads are bounded by the number
/// of jobs, and a large one is accepted where it is the only one.
#[test]
fn payloads_beyond_the_budget_are_refused() {
    const LARGE_BYTES: usize = 9 << 20;
    let mut sim = FirstFitSimulation::new(2, None);
    sim.run_until(1_000);
    for request in ["first", "second"] {
        sim.submit(job(request, false, 1, 0).payload("x".repeat(LARGE_BYTES).into()));
    }
    sim.submit(job("small", false, 1, 0));
    sim.run_until(8_000);
    assert_eq!(check(&sim), Vec::<String>::new());
    let states = ["first", "second", "small"].map(|request| {
        let id = format!("org/{request}").parse().unwrap();
        sim.table.rows[&id].0.state
    });
    assert_eq!(states, [JobState::Finished, JobState::DidNotRun, JobState::Finished]);
    let refused = sim.outcomes.iter().any(|(_, outcome)| {
        matches!(outcome, Outcome::DidNotRun { refusal: Refusal::QueueFull { retry_after_ms, .. } } if *retry_after_ms > 0)
    });
    assert!(refused, "{:?}", sim.outcomes);
    sim.submit(job("third", false, 1, 0).payload("x".repeat(LARGE_BYTES).into()));
    sim.run_until(16_000);
    assert_eq!(
        sim.table.rows[&"org/third".parse().unwrap()].0.state,
        JobState::Finished
    );
}
