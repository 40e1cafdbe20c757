//! Membership: every instance sees every other with few messages, silent ones get nothing, leaving workers no new work.

mod support;

use serde_json::json;
use standin::{LogEvent, WorkerFaults};
use support::{Site, job};

async fn live_peers(site: &Site, entry: usize) -> usize {
    let peers = site.get(entry, "/v1/peers").await;
    let peers = peers.body.as_array().cloned().unwrap_or_default();
    peers.iter().filter(|peer| peer["status"] == "live").count()
}

/// Guards against a relay that loses states, and against a number of messages that grows with the square of instances.
#[actix_web::test]
async fn delegates_relay_between_data_centres() {
    let mut site = Site::bare(6).await;
    site.until("all see all", async || {
        for entry in 0..6 {
            if live_peers(&site, entry).await != 5 {
                return false;
            }
        }
        true
    })
    .await;
    let sent = async |site: &Site| site.metric(5, "galenaspool_heartbeats_total{result=\"ok\"}").await;
    let before = sent(&site).await;
    actix_rt::time::sleep(std::time::Duration::from_secs(1)).await;
    let per_interval = (sent(&site).await - before) / 10.0;
    assert!(
        per_interval < 4.0,
        "one neighbour and two delegates, but {per_interval} heartbeats in an interval"
    );
    // e1 is the delegate of dc1; the others must hear of e4 through its successor.
    site.stop(0).await;
    site.until("the next delegate relays", async || {
        live_peers(&site, 1).await == 4 && live_peers(&site, 5).await == 4
    })
    .await;
}

/// Guards against new work on a worker that leaves (R7), by either sign of it.
#[actix_web::test]
async fn leaving_worker_gets_no_new_work() {
    let site = Site::start(3).await;
    let worker = standin::testing::Cluster::worker_id(1, 1, 1);
    let leaving = WorkerFaults {
        leaving: true,
        ..WorkerFaults::default()
    };
    site.cluster.set_worker_faults(&worker, leaving).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(800)).await;
    let before = site.cluster.log().await.len();
    for i in 0..8 {
        let urgent = site.submit(0, &job(&format!("u{i}"), "urgent", i % 2 == 0, 10)).await;
        let deferred = site.submit(0, &job(&format!("d{i}"), "deferred", true, 10)).await;
        assert_eq!((urgent.text("outcome"), deferred.text("outcome")), ("ran", "ran"));
    }
    let log = site.cluster.log().await;
    let new = log[before..].iter().filter(|entry| entry.event == LogEvent::Start);
    assert_eq!(new.filter(|entry| entry.worker == worker).count(), 0);
}

/// Guards against a data centre that starts work although it reached nothing outside for longer than allowed.
#[actix_web::test]
async fn cut_off_data_centre_stops_starting_after_the_limit() {
    let site = Site::bare_with(1, |settings| settings.cut_off_start_limit_ms = 600).await;
    site.put_config(0, 0, &support::config()).await;
    site.until_scheduled().await;
    site.cluster.set_link("platform", standin::LinkMode::Cut).await;
    let served = site.submit(0, &job("before", "urgent", true, 10)).await;
    assert_eq!(served.text("outcome"), "ran");
    actix_rt::time::sleep(std::time::Duration::from_secs(1)).await;
    let refused = site.submit(0, &job("after", "urgent", true, 10)).await;
    assert_eq!(
        (refused.text("code"), &refused.body["did_not_run"]),
        ("no_data_centre", &json!(true))
    );
    site.cluster.set_link("platform", standin::LinkMode::Open).await;
    site.until("work starts again", async || {
        site.submit(0, &job("again", "urgent", true, 10)).await.text("outcome") == "ran"
    })
    .await;
}
