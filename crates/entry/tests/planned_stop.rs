//! Planned stop: no request is interrupted, and leases and grants are released at once.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use awc::http::Method;
use standin::LogEvent;
use support::{TestSystem, job, send};

/// Guards against requests that are interrupted or run twice when an instance stops under load, as in rolling restarts.
#[actix_web::test]
async fn stop_under_load_interrupts_no_request() {
    let mut system = TestSystem::start(3).await;
    let base_urls: Vec<String> = system
        .settings
        .iter()
        .map(|s| format!("http://{}", s.http_address))
        .collect();
    let stopped = Rc::new(Cell::new(false));
    let callers = (0..12).map(|caller| {
        let (base_urls, stopped) = (base_urls.clone(), stopped.clone());
        actix_rt::spawn(async move {
            let mut outcomes = Vec::new();
            for i in 0..8 {
                // The load balancer takes an instance out of rotation once it is not ready.
                let ready = send(&format!("{}/readyz", base_urls[0]), &Method::GET, None, Vec::new()).await;
                let in_rotation = ready.is_ok_and(|reply| reply.status == 200) && !stopped.get();
                let instance = usize::from(!in_rotation);
                let (class, idempotent) = [("urgent", true), ("urgent", false), ("deferred", false)][caller % 3];
                let body = job(&format!("stop-{caller}-{i}"), class, idempotent, 30);
                let url = format!("{}/v1/jobs?wait_ms=4000", base_urls[instance]);
                outcomes.push(send(&url, &Method::POST, None, body.to_string().into_bytes()).await);
                sleep(Duration::from_millis(10)).await;
            }
            outcomes
        })
    });
    let callers: Vec<_> = callers.collect();
    sleep(Duration::from_millis(200)).await;
    system.stop(0).await;
    stopped.set(true);
    let mut answered = 0;
    for caller in callers {
        for outcome in caller.await.unwrap() {
            let reply = outcome.expect("no connection is interrupted");
            assert_eq!(reply.text("outcome"), "ran", "{reply:?}");
            answered += 1;
        }
    }
    assert_eq!(answered, 96);
    let log = system.cluster.log().await;
    let starts = log.iter().filter(|entry| entry.event == LogEvent::Start).count();
    assert_eq!(starts, 96, "nothing ran twice and nothing was lost");
}

/// Guards against a stop that leaves the data centre without a scheduler until the scheduling lease expires.
#[actix_web::test]
async fn successor_schedules_at_once_and_running_jobs_continue() {
    let mut system = TestSystem::start(4).await;
    system.post(1, "/v1/data-centres/dc2/out", &serde_json::json!({})).await;
    system.post(1, "/v1/data-centres/dc3/out", &serde_json::json!({})).await;
    let scheduler = |status: &support::Reply| status.body["data_centres"][0]["scheduler"].as_str().map(str::to_owned);
    let holder = scheduler(&system.get(1, "/v1/config/status").await).expect("dc1 is scheduled");
    let (holder, other) = if holder == "e1" { (0, 3) } else { (3, 0) };
    system
        .until("the outs are in force", async || {
            system.get(holder, "/v1/config").await.body["version"] == 3
                && system.get(other, "/v1/config").await.body["version"] == 3
        })
        .await;
    system
        .post(other, "/v1/jobs", &job("long", "deferred", false, 2_000))
        .await;
    system
        .until("the job runs", async || !system.cluster.log().await.is_empty())
        .await;
    system.stop(holder).await;
    let begin = Instant::now();
    let next = system.submit(other, &job("next", "deferred", false, 10)).await;
    assert_eq!(next.text("outcome"), "ran", "{next:?}");
    assert!(begin.elapsed() < Duration::from_millis(1_500), "{:?}", begin.elapsed());
    let long = system.submit(other, &job("long", "deferred", false, 2_000)).await;
    assert_eq!(long.text("outcome"), "ran", "{long:?}");
    let log = system.cluster.log().await;
    assert_eq!(log.iter().filter(|entry| entry.event == LogEvent::Start).count(), 2);
}

/// Guards against grants that occupy capacity after their instance has stopped.
#[actix_web::test]
async fn grants_are_revoked_before_the_process_ends() {
    let mut system = TestSystem::start(3).await;
    system.stop(0).await;
    let workers = net::WorkerClient::new(net::WorkerClientOptions::new());
    for index in 1..=2 {
        let worker = standin::testing::Cluster::worker_id(1, 1, index);
        let inventory = workers
            .inventory(&system.cluster.workers().url(), &worker)
            .await
            .unwrap();
        let held: Vec<_> = inventory
            .leases
            .iter()
            .filter(|info| info.holder.as_str() == "e1")
            .collect();
        assert!(held.is_empty(), "{held:?}");
    }
}
