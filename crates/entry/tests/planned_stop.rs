//! Planned stop (R8): no request is interrupted, and leases and grants are free at once.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use awc::http::Method;
use standin::LogEvent;
use support::{Site, job, send};

/// Guards against interrupted or doubled requests while an instance stops under load, as a rolling restart does.
#[actix_web::test]
async fn stop_under_load_interrupts_no_request() {
    let mut site = Site::start(3).await;
    let base: Vec<String> = site
        .settings
        .iter()
        .map(|s| format!("http://{}", s.http_address))
        .collect();
    let leaving = Rc::new(Cell::new(false));
    let callers = (0..12).map(|caller| {
        let (base, leaving) = (base.clone(), leaving.clone());
        actix_rt::spawn(async move {
            let mut outcomes = Vec::new();
            for i in 0..8 {
                // The balancer takes an instance out of rotation once its readiness fails.
                let ready = send(&format!("{}/readyz", base[0]), &Method::GET, None, Vec::new()).await;
                let in_rotation = ready.is_ok_and(|reply| reply.status == 200) && !leaving.get();
                let first = usize::from(!in_rotation);
                let (class, idempotent) = [("urgent", true), ("urgent", false), ("deferred", false)][caller % 3];
                let body = job(&format!("stop-{caller}-{i}"), class, idempotent, 30);
                let url = format!("{}/v1/jobs?wait_ms=4000", base[first]);
                outcomes.push(send(&url, &Method::POST, None, body.to_string().into_bytes()).await);
                sleep(Duration::from_millis(10)).await;
            }
            outcomes
        })
    });
    let callers: Vec<_> = callers.collect();
    sleep(Duration::from_millis(200)).await;
    site.stop(0).await;
    leaving.set(true);
    let mut answered = 0;
    for caller in callers {
        for outcome in caller.await.unwrap() {
            let reply = outcome.expect("no connection is broken off");
            assert_eq!(reply.text("outcome"), "ran", "{reply:?}");
            answered += 1;
        }
    }
    assert_eq!(answered, 96);
    let log = site.cluster.log().await;
    let starts = log.iter().filter(|entry| entry.event == LogEvent::Start).count();
    assert_eq!(starts, 96, "nothing ran twice and nothing was lost");
}

/// Guards against a stop that leaves the data centre without a scheduler until the lease has expired.
#[actix_web::test]
async fn successor_schedules_at_once_and_running_jobs_go_on() {
    let mut site = Site::start(4).await;
    site.post(1, "/v1/data-centres/dc2/out", &serde_json::json!({})).await;
    site.post(1, "/v1/data-centres/dc3/out", &serde_json::json!({})).await;
    let scheduler = |status: &support::Reply| status.body["data_centres"][0]["scheduler"].as_str().map(str::to_owned);
    let holder = scheduler(&site.get(1, "/v1/config/status").await).expect("dc1 is scheduled");
    let (holder, other) = if holder == "e1" { (0, 3) } else { (3, 0) };
    site.until("the outs are in force", async || {
        site.get(holder, "/v1/config").await.body["version"] == 3
            && site.get(other, "/v1/config").await.body["version"] == 3
    })
    .await;
    site.post(other, "/v1/jobs", &job("long", "deferred", false, 2_000))
        .await;
    site.until("the job runs", async || !site.cluster.log().await.is_empty())
        .await;
    site.stop(holder).await;
    let begin = Instant::now();
    let next = site.submit(other, &job("next", "deferred", false, 10)).await;
    assert_eq!(next.text("outcome"), "ran", "{next:?}");
    assert!(begin.elapsed() < Duration::from_millis(1_500), "{:?}", begin.elapsed());
    let long = site.submit(other, &job("long", "deferred", false, 2_000)).await;
    assert_eq!(long.text("outcome"), "ran", "{long:?}");
    let log = site.cluster.log().await;
    assert_eq!(log.iter().filter(|entry| entry.event == LogEvent::Start).count(), 2);
}

/// Guards against grants that block capacity after their instance has stopped.
#[actix_web::test]
async fn grants_are_revoked_before_the_process_ends() {
    let mut site = Site::start(3).await;
    site.stop(0).await;
    let workers = net::WorkerClient::new(net::WorkerClientOptions::new());
    for index in 1..=2 {
        let worker = standin::testing::Cluster::worker_id(1, 1, index);
        let inventory = workers.inventory(&site.cluster.workers().url(), &worker).await.unwrap();
        let held: Vec<_> = inventory
            .leases
            .iter()
            .filter(|info| info.holder.as_str() == "e1")
            .collect();
        assert!(held.is_empty(), "{held:?}");
    }
}
