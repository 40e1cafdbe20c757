//! Urgent jobs: idempotent work runs without the store, non-idempotent work runs at most once, and refusals state
//! whether the work ran.

mod support;

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use futures_util::future::{join, join_all};
use model::{JobId, JobRow, JobState};
use rstest::rstest;
use serde_json::json;
use standin::{LinkMode, LogEvent, PlatformFaults, WorkerFaultRequest, WorkerFaults};
use store::{Expected, PlatformClient, PlatformClientOptions, Table, Txn, Urgency};
use support::{TestSystem, job};

/// Returns the request that makes all workers stop responding, or respond again.
fn freeze(freeze: bool) -> WorkerFaultRequest {
    WorkerFaultRequest {
        faults: WorkerFaults {
            freeze,
            ..WorkerFaults::default()
        },
        ..WorkerFaultRequest::default()
    }
}

async fn count_starts(system: &TestSystem, request_id: &str) -> usize {
    let log = system.cluster.log().await;
    let is_start =
        |entry: &&standin::LogEntry| entry.event == LogEvent::Start && entry.task.job.request.as_str() == request_id;
    log.iter().filter(is_start).count()
}

/// Guards against idempotent work that depends on the store, and non-idempotent work that runs without a record.
#[actix_web::test]
async fn without_the_store_only_idempotent_work_runs() {
    let system = TestSystem::start(3).await;
    system.cluster.set_link("platform", LinkMode::Cut).await;
    let quote = system.submit(0, &job("quote", "urgent", true, 10)).await;
    assert_eq!(quote.text("outcome"), "ran", "{quote:?}");
    let sale = system.submit(0, &job("sale", "urgent", false, 10)).await;
    assert_eq!(
        (sale.text("code"), &sale.body["did_not_run"]),
        ("store_unavailable", &json!(false)),
        "{sale:?}"
    );
    assert_eq!(count_starts(&system, "sale").await, 0);
    system.cluster.set_link("platform", LinkMode::Open).await;
    system
        .until("the sale runs on a retry", async || {
            system
                .submit(1, &job("sale", "urgent", false, 10))
                .await
                .text("outcome")
                == "ran"
        })
        .await;
    assert_eq!(count_starts(&system, "sale").await, 1);
}

/// Guards against several runs of a non-idempotent request that is repeated or sent concurrently.
#[actix_web::test]
async fn non_idempotent_request_runs_once() {
    let system = TestSystem::start(3).await;
    let body = job("kit", "urgent", false, 100);
    let replies = join_all([0, 0, 1, 2].map(|instance| system.submit(instance, &body))).await;
    for reply in &replies {
        assert_eq!(reply.text("outcome"), "ran", "{reply:?}");
        assert_eq!(reply.body, replies[0].body);
    }
    assert_eq!(count_starts(&system, "kit").await, 1);
    let status = system.get(1, "/v1/jobs/clyde-koi/kit").await;
    assert_eq!(
        (
            status.text("outcome"),
            status.body["attempts"].as_array().unwrap().len()
        ),
        ("ran", 1)
    );
    let audit = system.get(0, "/v1/audit/clyde-koi/kit").await;
    assert_eq!(audit.body["charges"].as_array().map(Vec::len), Some(1));
}

/// Guards against a request that fails because one worker refuses or fails its tasks, or is draining.
#[rstest]
#[case::worker_refuses(WorkerFaults { refuse: true, ..WorkerFaults::default() }, true)]
#[case::worker_refuses_non_idempotent(WorkerFaults { refuse: true, ..WorkerFaults::default() }, false)]
#[case::worker_fails_everything(WorkerFaults { fail_tasks: true, ..WorkerFaults::default() }, true)]
#[case::worker_drains(WorkerFaults { leaving: true, ..WorkerFaults::default() }, true)]
#[actix_web::test]
async fn request_succeeds_despite_a_faulty_worker(#[case] faults: WorkerFaults, #[case] idempotent: bool) {
    let system = TestSystem::start(3).await;
    let worker = standin::testing::Cluster::worker_id(1, 1, 1);
    system.cluster.set_worker_faults(&worker, faults).await;
    for i in 0..6 {
        let request = format!("r{i}");
        let reply = system.submit(0, &job(&request, "urgent", idempotent, 10)).await;
        assert_eq!(reply.text("outcome"), "ran", "{reply:?}");
        assert!(idempotent || count_starts(&system, &request).await == 1);
    }
}

/// Guards against a second run of a request whose worker accepted the command and then stopped responding, and against
/// reporting that it did not run.
#[actix_web::test]
async fn silent_worker_makes_the_outcome_indeterminate_until_it_answers() {
    let system = TestSystem::start(3).await;
    system.cluster.fault_workers(&freeze(true)).await;
    let mut body = job("appraisal", "urgent", false, 10);
    body["deadline_ms"] = json!(400);
    let reply = system.submit(0, &body).await;
    assert_eq!(
        (reply.status.as_u16(), reply.text("outcome")),
        (202, "indeterminate"),
        "{reply:?}"
    );
    system.cluster.fault_workers(&freeze(false)).await;
    system
        .until("the worker's inventory decides the outcome", async || {
            let outcome = system.get(1, "/v1/jobs/clyde-koi/appraisal").await;
            ["ran", "did_not_run"].contains(&outcome.text("outcome"))
        })
        .await;
    let outcome = system.get(1, "/v1/jobs/clyde-koi/appraisal").await;
    assert_eq!(
        count_starts(&system, "appraisal").await,
        usize::from(outcome.text("outcome") == "ran")
    );
}

/// Guards against an outcome that stays indeterminate because the worker's lease lapsed while the worker did not respond:
/// the same incarnation granted the lease and does not know the task, so the task never started.
#[actix_web::test]
async fn lapsed_lease_of_a_worker_that_did_not_restart_decides_the_outcome() {
    const FREEZE: Duration = Duration::from_secs(2);
    let system = TestSystem::start(3).await;
    system.cluster.fault_workers(&freeze(true)).await;
    let mut body = job("appraisal", "urgent", false, 10);
    body["deadline_ms"] = json!(400);
    let reply = system.submit(0, &body).await;
    assert_eq!(reply.text("outcome"), "indeterminate", "{reply:?}");
    sleep(FREEZE).await;
    system.cluster.fault_workers(&freeze(false)).await;
    system
        .until("the lapsed lease decides the outcome", async || {
            let outcome = system.get(1, "/v1/jobs/clyde-koi/appraisal").await;
            outcome.text("outcome") == "did_not_run"
        })
        .await;
    assert_eq!(count_starts(&system, "appraisal").await, 0);
}

/// Guards against a request that is refused because another instance resolved its attempt while this one still read back
/// the lost reply of the attempt record: that instance saw this one as suspect.
#[rstest]
#[case::did_not_run(JobState::DidNotRun)]
#[case::indeterminate(JobState::Indeterminate)]
#[actix_web::test]
async fn attempt_resolved_before_its_record_is_read_back_runs(#[case] state: JobState) {
    let system = TestSystem::start(3).await;
    let store = PlatformClient::new(PlatformClientOptions::new(system.cluster.platform().url()));
    let faults = PlatformFaults {
        lose_every: 1,
        lose_hang_ms: 300,
        ..PlatformFaults::default()
    };
    system.cluster.set_platform_faults(faults).await;
    let body = job("sale", "urgent", false, 10);
    let resolve = async {
        let id: JobId = "clyde-koi/sale".parse().unwrap();
        let found = loop {
            if let Some(row) = store.read(&JobRow::key_of(&id)).await.unwrap() {
                break row;
            }
            sleep(Duration::from_millis(5)).await;
        };
        system.cluster.set_platform_faults(PlatformFaults::default()).await;
        let mut row: JobRow = serde_json::from_value(found.value).unwrap();
        row.state = state;
        let txn = Txn::new().put(row.key(), Expected::Version(found.version), json!(row));
        store.commit(&txn, Urgency::Job).await.unwrap();
    };
    let (reply, ()) = join(system.submit(0, &body), resolve).await;
    assert_eq!(reply.text("outcome"), "ran", "{reply:?}");
    assert_eq!(count_starts(&system, "sale").await, 1);
}

/// Guards against a second or unrecorded run after a lost reply of the store.
#[actix_web::test]
async fn lost_reply_for_the_attempt_record_is_read_back() {
    let system = TestSystem::start(3).await;
    let faults = PlatformFaults {
        lose_every: 2,
        ..PlatformFaults::default()
    };
    system.cluster.set_platform_faults(faults).await;
    let bodies: Vec<_> = (0..8).map(|i| job(&format!("sale-{i}"), "urgent", false, 10)).collect();
    let replies = join_all(bodies.iter().enumerate().map(|(i, body)| system.submit(i % 3, body))).await;
    for (i, reply) in replies.iter().enumerate() {
        assert_eq!(reply.text("outcome"), "ran", "{reply:?}");
        assert_eq!(count_starts(&system, &format!("sale-{i}")).await, 1);
    }
}

/// Guards against requests that wait at a busy instance while another has free grants.
#[actix_web::test]
async fn requests_are_forwarded_from_a_busy_instance() {
    let system = TestSystem::start(3).await;
    let bodies: Vec<_> = (0..10)
        .map(|i| job(&format!("burst-{i}"), "urgent", i % 2 == 0, 300))
        .collect();
    let begin = Instant::now();
    let replies = join_all(bodies.iter().map(|body| system.submit(0, body))).await;
    assert!(
        replies.iter().all(|reply| reply.text("outcome") == "ran"),
        "{replies:?}"
    );
    assert!(begin.elapsed() < Duration::from_millis(2_500), "{:?}", begin.elapsed());
    let used: std::collections::BTreeSet<String> = system
        .cluster
        .log()
        .await
        .iter()
        .map(|entry| entry.data_centre.to_string())
        .collect();
    assert!(used.len() > 1, "{used:?}");
}

/// Guards against a refusal after the deadline that does not state whether the work ran.
#[actix_web::test]
async fn request_that_finds_no_grant_in_time_did_not_run() {
    let system = TestSystem::start(1).await;
    let long: Vec<_> = (0..9)
        .map(|i| job(&format!("long-{i}"), "urgent", true, 1_500))
        .collect();
    let mut late = job("late", "urgent", true, 10);
    late["deadline_ms"] = json!(300);
    let (_, reply) = futures_util::future::join(join_all(long.iter().map(|body| system.submit(0, body))), async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        system.submit(0, &late).await
    })
    .await;
    assert_eq!(
        (reply.text("code"), &reply.body["did_not_run"]),
        ("deadline_passed", &json!(true)),
        "{reply:?}"
    );
    assert_eq!(count_starts(&system, "late").await, 0);
}
