//! Urgent jobs: idempotent work runs without the store, non-idempotent work runs at most once, and refusals state
//! whether the work ran.

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;
use standin::{LinkMode, LogEvent, PlatformFaults, WorkerFaultRequest, WorkerFaults};
use support::{TestSystem, job};

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
    let freeze = |freeze| WorkerFaultRequest {
        faults: WorkerFaults {
            freeze,
            ..WorkerFaults::default()
        },
        ..WorkerFaultRequest::default()
    };
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
