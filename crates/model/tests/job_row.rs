//! Job rows: an instance must not record the end of an attempt that another instance made.

use model::{Attempt, AttemptState, Epoch, JobRow, JobSpec, LeaseId, PartPlacement};
use rstest::rstest;

fn row(attempts: &[(u32, u64, u64)]) -> JobRow {
    let spec = JobSpec::new("a".parse().unwrap(), "r".parse().unwrap());
    let mut row = JobRow::new(spec, "dc1".parse().unwrap(), 0);
    row.attempts = attempts
        .iter()
        .map(|(number, sequence, recorded_unix_ms)| Attempt {
            number: *number,
            epoch: Epoch(1),
            placement: std::iter::once(PartPlacement {
                worker: "w".parse().unwrap(),
                lease: LeaseId::new(Epoch(1), *sequence),
            })
            .collect(),
            state: AttemptState::Recorded,
            recorded_unix_ms: *recorded_unix_ms,
        })
        .collect();
    row
}

/// Guards against a job that runs twice because a final state meant for attempt 1 of one instance marks attempt 2 of
/// another instance as not started.
#[rstest]
#[case::same(&[(1, 7, 50)], &[(1, 7, 50)], true)]
#[case::followed_by_another_attempt(&[(1, 7, 50), (2, 9, 60)], &[(1, 7, 50)], false)]
#[case::same_number_under_another_lease(&[(1, 8, 50)], &[(1, 7, 50)], false)]
#[case::later_request_on_the_same_grant(&[(1, 7, 60)], &[(1, 7, 50)], false)]
#[case::no_attempts(&[], &[], false)]
fn only_the_same_attempt_matches(
    #[case] current: &[(u32, u64, u64)],
    #[case] own: &[(u32, u64, u64)],
    #[case] expected: bool,
) {
    assert_eq!(row(current).has_same_last_attempt(&row(own)), expected);
}
