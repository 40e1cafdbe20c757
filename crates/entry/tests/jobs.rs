//! Deferred jobs: a job is durable before it is accepted, repeated requests are one job, and every caller gets the full
//! answer.

mod support;

use awc::http::Method;
use rstest::rstest;
use serde_json::{Value, json};
use standin::{LinkMode, LogEvent, PlatformFaults};
use support::{TestSystem, job};

fn count_starts(log: &[standin::LogEntry], request_id: &str) -> usize {
    let is_start =
        |entry: &&standin::LogEntry| entry.event == LogEvent::Start && entry.task.job.request.as_str() == request_id;
    log.iter().filter(is_start).count()
}

/// Guards against a duplicate run when a caller retries at another instance.
#[actix_web::test]
async fn repeated_request_at_another_instance_gets_the_same_answer() {
    let system = TestSystem::start(3).await;
    let body = job("appraisal", "deferred", false, 300);
    let (first, second) = futures_util::future::join(system.submit(0, &body), system.submit(1, &body)).await;
    let third = system.submit(2, &body).await;
    assert_eq!(first.text("outcome"), "ran", "{first:?}");
    assert_eq!((&first.body, &first.body), (&second.body, &third.body));
    assert_eq!(count_starts(&system.cluster.log().await, "appraisal"), 1);
    let answer = system.get(2, "/v1/jobs/clyde-koi/appraisal/answer").await;
    assert_eq!(answer.body, first.body["answer"]);
    let mut other = body;
    other["priority"] = json!(3);
    let reused = system.submit(1, &other).await;
    assert_eq!(
        (reused.status.as_u16(), reused.text("code")),
        (409, "request_id_reused")
    );
}

/// Guards against an accepted job that is not durable, and against a refused job that runs nevertheless.
#[actix_web::test]
async fn job_is_refused_without_the_store_and_accepted_afterwards() {
    let system = TestSystem::start(3).await;
    system.cluster.set_link("platform", LinkMode::Cut).await;
    let body = job("revaluation", "deferred", true, 10);
    let refused = system.submit(0, &body).await;
    assert_eq!(
        (refused.status.as_u16(), refused.text("code")),
        (503, "store_unavailable"),
        "{refused:?}"
    );
    assert_eq!(
        refused.body["did_not_run"], false,
        "an earlier request with the id may have been accepted"
    );
    assert!(refused.body["retry_after_ms"].as_u64().is_some());
    assert_eq!(count_starts(&system.cluster.log().await, "revaluation"), 0);
    system.cluster.set_link("platform", LinkMode::Open).await;
    system
        .until("the same request runs", async || {
            system.submit(1, &body).await.text("outcome") == "ran"
        })
        .await;
    assert_eq!(count_starts(&system.cluster.log().await, "revaluation"), 1);
}

/// Guards against a lost job or one that runs twice when replies of the store are lost after the write took effect.
#[rstest]
#[case::every_second(2, 0)]
#[case::every_third_hangs(3, 200)]
#[actix_web::test]
async fn lost_store_replies_neither_lose_nor_duplicate_jobs(#[case] lose_every: u64, #[case] lose_hang_ms: u64) {
    let system = TestSystem::start(3).await;
    let faults = PlatformFaults {
        lose_every,
        lose_hang_ms,
        ..PlatformFaults::default()
    };
    system.cluster.set_platform_faults(faults).await;
    let bodies: Vec<Value> = (0..6)
        .map(|i| job(&format!("lossy-{i}"), "deferred", false, 20))
        .collect();
    let replies = bodies.iter().enumerate().map(|(i, body)| system.submit(i % 3, body));
    let replies = futures_util::future::join_all(replies).await;
    system.cluster.set_platform_faults(PlatformFaults::default()).await;
    for (body, reply) in bodies.iter().zip(replies) {
        assert_ne!(reply.body["did_not_run"], true, "{reply:?}");
        system
            .until("the job finishes", async || {
                let reply = system.submit(0, body).await;
                reply.text("outcome") == "ran"
            })
            .await;
        assert_eq!(
            count_starts(&system.cluster.log().await, body["request_id"].as_str().unwrap()),
            1
        );
    }
}

/// Guards against a job that nobody schedules because it was accepted while its scheduler was not known.
#[actix_web::test]
async fn job_without_wait_is_in_progress_and_finishes() {
    let system = TestSystem::start(3).await;
    let gang = json!({
        "organisation": "clyde-koi", "request_id": "gang", "payload": {"run_ms": 100},
        "shape": {"parts": 2, "accelerators_per_part": 6, "adjacency": "data_centre"},
    });
    let accepted = system.post(0, "/v1/jobs", &gang).await;
    assert_eq!(
        (accepted.status.as_u16(), accepted.text("outcome")),
        (202, "in_progress")
    );
    let early = system.get(1, "/v1/jobs/clyde-koi/gang/answer").await;
    assert_eq!((early.status.as_u16(), early.text("code")), (409, "no_answer"));
    system
        .until("both parts ran", async || {
            system.get(1, "/v1/jobs/clyde-koi/gang").await.text("outcome") == "ran"
        })
        .await;
    assert_eq!(count_starts(&system.cluster.log().await, "gang"), 2);
    let audit = system.get(2, "/v1/audit/clyde-koi/gang").await;
    assert_eq!(audit.body["charges"].as_array().map(Vec::len), Some(1), "{audit:?}");
    let kinds: Vec<&str> = audit.body["events"]
        .as_array()
        .unwrap()
        .iter()
        .filter_map(|e| e["kind"].as_str())
        .collect();
    assert!(
        kinds.contains(&"request_accepted") && kinds.contains(&"job_ended"),
        "{kinds:?}"
    );
    let page = system.get(0, "/v1/jobs?organisation=clyde-koi&limit=1").await;
    assert_eq!(
        (page.body["jobs"][0]["request_id"].as_str(), page.text("next_after")),
        (Some("gang"), "clyde-koi/gang")
    );
    let rest = system.get(0, "/v1/jobs?limit=5&after=clyde-koi/gang").await;
    assert_eq!(rest.body, json!({"jobs": []}));
}

/// Guards against a cancelled job that continues to run, or is reported as not started although it was.
#[rstest]
#[case::running(0)]
#[case::through_another_instance(2)]
#[actix_web::test]
async fn cancelled_job_stops(#[case] through: usize) {
    let system = TestSystem::start(3).await;
    system
        .post(0, "/v1/jobs", &job("long", "deferred", false, 60_000))
        .await;
    system
        .until("the job runs", async || {
            count_starts(&system.cluster.log().await, "long") == 1
        })
        .await;
    let reply = system
        .send(through, &Method::DELETE, "/v1/jobs/clyde-koi/long", None, Vec::new())
        .await;
    assert_eq!(
        (reply.text("outcome"), &reply.body["started"]),
        ("cancelled", &json!(true)),
        "{reply:?}"
    );
    let log = system.cluster.log().await;
    assert_eq!(log.iter().filter(|entry| entry.event == LogEvent::End).count(), 1);
}

/// Guards against an index row that is not deleted and slows down every later recovery.
#[actix_web::test]
async fn index_of_open_jobs_is_empty_once_they_finish() {
    use store::{PlatformClient, PlatformClientOptions, Table};
    let system = TestSystem::start(3).await;
    system.submit(0, &job("one", "deferred", true, 10)).await;
    system.submit(1, &job("two", "urgent", false, 10)).await;
    let store = PlatformClient::new(PlatformClientOptions::new(system.cluster.platform().url()));
    system
        .until("no index row is left", async || {
            let open = store.scan("open/", "", 10).await.unwrap();
            let urgent = store.scan("urgent/", "", 10).await.unwrap();
            open.is_empty() && urgent.is_empty()
        })
        .await;
}

/// Guards against a job that needs whole workers and waits permanently because all of them have idle grants.
#[actix_web::test]
async fn idle_grants_do_not_block_a_wide_job() {
    let system = TestSystem::start_unconfigured_with(3, |settings| settings.slot_lease_ttl_ms = 800).await;
    system.put_config(0, 0, &support::config()).await;
    system.until_scheduled().await;
    let wide = json!({
        "organisation": "clyde-koi", "request_id": "wide", "payload": {"run_ms": 50},
        "shape": {"parts": 2, "accelerators_per_part": 8, "adjacency": "rack"},
    });
    system.post(0, "/v1/jobs", &wide).await;
    let begin = std::time::Instant::now();
    while system.get(1, "/v1/jobs/clyde-koi/wide").await.text("outcome") != "ran" {
        assert!(
            begin.elapsed() < std::time::Duration::from_secs(8),
            "the wide job did not run within 8 s"
        );
        let urgent = system
            .submit(
                0,
                &job(&format!("u{}", begin.elapsed().as_millis()), "urgent", true, 10),
            )
            .await;
        assert_eq!(urgent.text("outcome"), "ran", "{urgent:?}");
    }
}
