//! Callers' requests against a store that loses writes or replies, refuses writes or does not answer.

#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use domain::{JobState, Step};
use node::{Refused, Submission};
use rstest::rstest;
use support::{FakeStore, ID, WriteFault, config, request, start, submission};

fn store() -> FakeStore {
    let store = FakeStore::default();
    *store.0.config.borrow_mut() = Some(config(&["key"]));
    store
}

/// Guards against a job that is duplicated, lost or refused because a write or its reply is lost.
#[rstest]
#[case::no_fault(&[])]
#[case::reply_lost(&[WriteFault::ReplyLost])]
#[case::write_lost(&[WriteFault::Lost])]
#[case::all_faults(&[WriteFault::Lost, WriteFault::ReplyLost, WriteFault::Refused])]
#[actix_rt::test]
async fn job_is_stored_once(#[case] faults: &[WriteFault]) {
    let store = store();
    let (_node, handler) = start(&store).await;
    *store.0.faults.borrow_mut() = faults.to_vec();
    assert_eq!(handler.submit(&request(ID, "key"), &submission()).await, Ok(()));
    assert_eq!(handler.submit(&request(ID, "key"), &submission()).await, Ok(()));
    assert_eq!(store.keys("jobs"), [ID]);
    assert_eq!(handler.state(&request(ID, "key")).await, Ok(JobState::Queued));
}

/// Guards against a job that is accepted although it can never run, and against the refusal of one that can, or that was
/// accepted before the maximum was lowered.
#[rstest]
#[case::one_task_is_too_large(1, 9, false, Err(Refused::OverMaximum))]
#[case::gang_is_too_wide(5, 2, true, Err(Refused::OverMaximum))]
#[case::gang_fits(4, 2, true, Ok(()))]
#[case::tasks_run_one_after_the_other(50, 8, false, Ok(()))]
#[actix_rt::test]
async fn job_that_can_never_run_is_refused(
    #[case] count: u32,
    #[case] accelerators: u64,
    #[case] is_gang: bool,
    #[case] expected: Result<(), Refused>,
) {
    let store = store();
    store.0.config.borrow_mut().as_mut().unwrap().organisations[0]
        .maximum
        .accelerators = 8;
    let (_node, handler) = start(&store).await;
    let mut large = submission();
    large.steps[0].count = count;
    large.steps[0].need.accelerators = accelerators;
    large.steps[0].is_gang = is_gang;
    let reply = handler.submit(&request(ID, "key"), &large).await;
    assert_eq!(reply, expected);
    assert_eq!(store.keys("jobs").len(), usize::from(expected.is_ok()));
}

/// Guards against the refusal of a repeated submission whose job was accepted before the maximum was lowered.
#[actix_rt::test]
async fn accepted_job_is_confirmed_after_the_maximum_was_lowered() {
    let store = store();
    let (_node, handler) = start(&store).await;
    let mut large = submission();
    large.steps[0].need.accelerators = 9;
    assert_eq!(handler.submit(&request(ID, "key"), &large).await, Ok(()));
    {
        let mut config = store.0.config.borrow_mut();
        let config = config.as_mut().unwrap();
        config.version += 1;
        config.organisations[0].maximum.accelerators = 8;
    }
    let other = "00000000000000ff";
    for _ in 0..100 {
        if handler.submit(&request(other, "key"), &large).await == Err(Refused::OverMaximum) {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(handler.submit(&request(ID, "key"), &large).await, Ok(()));
}

/// Guards against a reply that nothing was stored although a write without a reply may have taken effect.
#[actix_rt::test]
async fn write_in_doubt_is_not_reported_as_refused() {
    let store = store();
    let (_node, handler) = start(&store).await;
    *store.0.faults.borrow_mut() = vec![WriteFault::Lost; 100];
    let reply = handler.submit(&request(ID, "key"), &submission()).await;
    assert_eq!(reply, Err(Refused::InDoubt));
}

/// Guards against calls that wait until their deadline while the store refuses every write.
#[actix_rt::test]
async fn refusing_store_is_reported_at_once() {
    let store = store();
    let (_node, handler) = start(&store).await;
    *store.0.faults.borrow_mut() = vec![WriteFault::Refused; 100];
    let started = Instant::now();
    let reply = handler.submit(&request(ID, "key"), &submission()).await;
    assert_eq!(reply, Err(Refused::StoreUnavailable));
    assert!(
        started.elapsed() < Duration::from_millis(700),
        "{:?}",
        started.elapsed()
    );
    assert!(store.keys("jobs").is_empty());
}

/// Guards against calls that wait until their deadline while the store does not answer.
#[actix_rt::test]
async fn unresponsive_store_is_detected_before_callers_time_out() {
    let store = store();
    let (_node, handler) = start(&store).await;
    store.0.is_unresponsive.set(true);
    let started = Instant::now();
    let reply = handler.submit(&request(ID, "key"), &submission()).await;
    assert_eq!(reply, Err(Refused::InDoubt));
    assert!(
        started.elapsed() < Duration::from_millis(900),
        "{:?}",
        started.elapsed()
    );
    let started = Instant::now();
    let reply = handler.submit(&request("00000000000000aa", "key"), &submission()).await;
    assert!(
        matches!(reply, Err(Refused::StoreUnavailable | Refused::StaleConfig)),
        "{reply:?}"
    );
    assert!(
        started.elapsed() < Duration::from_millis(100),
        "{:?}",
        started.elapsed()
    );
    assert!(!handler.is_ready());
    store.0.is_unresponsive.set(false);
    sleep(Duration::from_millis(1_500)).await;
    assert!(handler.is_ready());
    assert_eq!(handler.submit(&request(ID, "key"), &submission()).await, Ok(()));
}

/// Guards against accepting a key that was revoked while the instance could not read the store.
#[actix_rt::test]
async fn stale_configuration_admits_no_key() {
    let store = store();
    let (_node, handler) = start(&store).await;
    assert_eq!(handler.submit(&request(ID, "key"), &submission()).await, Ok(()));
    store.0.is_unresponsive.set(true);
    sleep(Duration::from_millis(1_800)).await;
    assert_eq!(handler.state(&request(ID, "key")).await, Err(Refused::StaleConfig));
}

#[rstest]
#[case::revoked_key(ID, "other", Refused::UnknownKey)]
#[case::short_id("5c0e", "key", Refused::Invalid("the id must have 16 hexadecimal digits"))]
#[case::not_hexadecimal(
    "5c0e7a21d94b36fx",
    "key",
    Refused::Invalid("the id must have 16 hexadecimal digits")
)]
#[actix_rt::test]
async fn invalid_requests_store_nothing(#[case] id: &str, #[case] key: &str, #[case] expected: Refused) {
    let store = store();
    let (_node, handler) = start(&store).await;
    assert_eq!(handler.submit(&request(id, key), &submission()).await, Err(expected));
    assert!(store.keys("jobs").is_empty());
}

#[rstest]
#[case::no_steps(Vec::new())]
#[case::no_tasks(vec![Step::default()])]
#[case::later_step(vec![Step { count: 1, after: [0].into_iter().collect(), ..Step::default() }])]
#[case::too_many_tasks(vec![Step { count: 6_000, ..Step::default() }])]
#[case::larger_than_a_row(vec![Step { count: 1, image: "x".repeat(100).into(), ..Step::default() }; 400])]
#[actix_rt::test]
async fn malformed_jobs_store_nothing(#[case] steps: Vec<Step>) {
    let store = store();
    let (_node, handler) = start(&store).await;
    let mut job = submission();
    job.steps = steps;
    let reply = handler.submit(&request(ID, "key"), &job).await;
    assert!(matches!(reply, Err(Refused::Invalid(_))), "{reply:?}");
    assert!(store.keys("jobs").is_empty());
}

#[actix_rt::test]
async fn unknown_job_and_unknown_route_are_distinguished() {
    let store = store();
    let (_node, handler) = start(&store).await;
    assert_eq!(handler.state(&request(ID, "key")).await, Err(Refused::UnknownJob));
    let mut elsewhere = request(ID, "key");
    elsewhere.path = "/other/".into();
    assert_eq!(handler.pending(&elsewhere).await, Err(Refused::UnknownRoute));
}

#[actix_rt::test]
async fn without_a_configuration_nothing_is_accepted() {
    let store = FakeStore::default();
    let (_node, handler) = start(&store).await;
    let reply = handler.submit(&request(ID, "key"), &submission()).await;
    assert_eq!(reply, Err(Refused::NoConfig));
    assert!(!handler.is_ready());
}

/// Guards against a cancellation that is acknowledged to the caller but not durable.
#[actix_rt::test]
async fn cancellation_is_durable_when_it_is_acknowledged() {
    let store = store();
    let (_node, handler) = start(&store).await;
    assert_eq!(handler.submit(&request(ID, "key"), &submission()).await, Ok(()));
    *store.0.faults.borrow_mut() = vec![WriteFault::Lost, WriteFault::ReplyLost];
    assert_eq!(handler.cancel(&request(ID, "key")).await, Ok(()));
    assert!(store.keys("jobs").iter().any(|key| key.ends_with("/cancel")));
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(handler.state(&request(ID, "key")).await, Ok(JobState::Cancelled));
}

/// Guards against a lease holder that seems unresponsive because its other writes renew the lease without a heartbeat.
#[actix_rt::test]
async fn heartbeat_continues_while_jobs_are_submitted() {
    /// Lease TTL of the instance under test.
    const LEASE_TTL: Duration = Duration::from_millis(600);
    let store = store();
    let (_node, handler) = start(&store).await;
    sleep(LEASE_TTL).await;
    let (mut heartbeat, mut changed) = (store.value("lease", "beat"), Instant::now());
    assert!(heartbeat.is_some());
    let mut longest = Duration::ZERO;
    for number in 0..60 {
        let id = format!("{number:016x}");
        assert_eq!(handler.submit(&request(&id, "key"), &submission()).await, Ok(()));
        sleep(Duration::from_millis(30)).await;
        let now = store.value("lease", "beat");
        if now != heartbeat {
            (heartbeat, changed) = (now, Instant::now());
        }
        longest = longest.max(changed.elapsed());
    }
    assert!(longest < LEASE_TTL * 2 / 3, "{longest:?}");
}

/// Guards against a write without a reply that takes effect after a newer one: the start bound would fall below the
/// versions of jobs that were started.
#[actix_rt::test]
async fn start_bound_is_written_in_order() {
    let store = store();
    let (_node, handler) = start(&store).await;
    sleep(Duration::from_millis(600)).await;
    for number in 0..3 {
        let id = format!("{number:016x}");
        assert_eq!(handler.submit(&request(&id, "key"), &submission()).await, Ok(()));
        sleep(Duration::from_millis(60)).await;
    }
    let txns = store.0.txns.borrow();
    let mut writes = 0;
    for txn in txns.iter() {
        for put in txn.puts.iter().filter(|put| put.place.table == "start_bound") {
            writes += 1;
            let own = |condition: &&node::Condition| condition.place == put.place && condition.key == put.key;
            assert!(txn.conditions.iter().any(|condition| own(&condition)), "{txn:?}");
        }
    }
    assert!(writes > 0);
}

/// Guards against callers that use up their tries during an outage of some seconds because all come back after one.
#[actix_rt::test]
async fn pause_before_a_retry_grows_with_the_outage() {
    let store = store();
    let (_node, handler) = start(&store).await;
    assert_eq!(handler.retry_after_s(), 1);
    store.0.is_unresponsive.set(true);
    sleep(Duration::from_millis(3_500)).await;
    let during = handler.retry_after_s();
    assert!((2..=3).contains(&during), "{during} s");
    store.0.is_unresponsive.set(false);
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(handler.retry_after_s(), 1);
}

/// Guards against a job that ends every process which schedules it: as its row is durable, each successor reads it again,
/// opens all its occurrences and runs out of memory, or computes with amounts that overflow.
#[rstest]
#[case::occurrences(|job: &mut Submission| job.times = u32::MAX)]
#[case::tasks_of_all_occurrences(|job: &mut Submission| { job.times = 1_000; job.steps[0].count = 1_000; })]
#[case::interval(|job: &mut Submission| { job.times = 2; job.interval_ms = u64::MAX; })]
#[case::first_run(|job: &mut Submission| { job.times = 2; job.first_run_unix_ms = u64::MAX; })]
#[case::estimate(|job: &mut Submission| job.steps[0].estimate_ms = u64::MAX)]
#[case::processor(|job: &mut Submission| job.steps[0].need.cpu_milli = u64::MAX)]
#[case::memory(|job: &mut Submission| job.steps[0].need.memory_mib = u64::MAX)]
#[case::accelerators(|job: &mut Submission| job.steps[0].need.accelerators = u64::MAX)]
#[actix_rt::test]
async fn job_beyond_all_bounds_is_refused(#[case] change: fn(&mut Submission)) {
    let store = store();
    let (_node, handler) = start(&store).await;
    let mut job = submission();
    change(&mut job);
    let reply = handler.submit(&request(ID, "key"), &job).await;
    assert!(matches!(reply, Err(Refused::Invalid(_))), "{reply:?}");
    assert!(store.keys("jobs").is_empty());
}
