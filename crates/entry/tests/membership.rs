//! Membership: every instance knows the state of all others at the cost of few messages, a draining worker gets no new
//! work, and a data centre that is cut off stops starting work.

mod support;

use serde_json::json;
use standin::{LogEvent, WorkerFaults};
use support::{TestSystem, job};

async fn live_peers(system: &TestSystem, instance: usize) -> usize {
    let peers = system.get(instance, "/v1/peers").await;
    let peers = peers.body.as_array().cloned().unwrap_or_default();
    peers.iter().filter(|peer| peer["status"] == "live").count()
}

/// Guards against states that are lost between data centres, and against a number of heartbeats that grows with the
/// square of the number of instances.
#[actix_web::test]
async fn delegates_relay_between_data_centres() {
    let mut system = TestSystem::start_unconfigured(6).await;
    system
        .until("every instance sees all others live", async || {
            for instance in 0..6 {
                if live_peers(&system, instance).await != 5 {
                    return false;
                }
            }
            true
        })
        .await;
    let sent_heartbeats =
        async |system: &TestSystem| system.metric(5, "galenaspool_heartbeats_total{result=\"ok\"}").await;
    let before = sent_heartbeats(&system).await;
    actix_rt::time::sleep(std::time::Duration::from_secs(1)).await;
    let per_interval = (sent_heartbeats(&system).await - before) / 10.0;
    assert!(
        per_interval < 4.0,
        "expected heartbeats to one local peer and two delegates, got {per_interval} per interval"
    );
    // e1 is the delegate of dc1; the other data centres must get the state of e4 from the next delegate.
    system.stop(0).await;
    system
        .until("the next delegate relays", async || {
            live_peers(&system, 1).await == 4 && live_peers(&system, 5).await == 4
        })
        .await;
}

/// Guards against new work on a worker that is draining, whether the worker or the platform reports it.
#[actix_web::test]
async fn draining_worker_gets_no_new_work() {
    let system = TestSystem::start(3).await;
    let worker = standin::testing::Cluster::worker_id(1, 1, 1);
    let draining = WorkerFaults {
        leaving: true,
        ..WorkerFaults::default()
    };
    system.cluster.set_worker_faults(&worker, draining).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(800)).await;
    let before = system.cluster.log().await.len();
    for i in 0..8 {
        let urgent = system.submit(0, &job(&format!("u{i}"), "urgent", i % 2 == 0, 10)).await;
        let deferred = system.submit(0, &job(&format!("d{i}"), "deferred", true, 10)).await;
        assert_eq!((urgent.text("outcome"), deferred.text("outcome")), ("ran", "ran"));
    }
    let log = system.cluster.log().await;
    let new_starts = log[before..].iter().filter(|entry| entry.event == LogEvent::Start);
    assert_eq!(new_starts.filter(|entry| entry.worker == worker).count(), 0);
}

/// Guards against a data centre that starts work although it has reached neither the store nor another data centre for
/// longer than allowed.
#[actix_web::test]
async fn cut_off_data_centre_starts_no_work_after_the_limit() {
    let system = TestSystem::start_unconfigured_with(1, |settings| settings.cut_off_start_limit_ms = 600).await;
    system.put_config(0, 0, &support::config()).await;
    system.until_scheduled().await;
    system.cluster.set_link("platform", standin::LinkMode::Cut).await;
    let served = system.submit(0, &job("before", "urgent", true, 10)).await;
    assert_eq!(served.text("outcome"), "ran");
    actix_rt::time::sleep(std::time::Duration::from_secs(1)).await;
    let refused = system.submit(0, &job("after", "urgent", true, 10)).await;
    assert_eq!(
        (refused.text("code"), &refused.body["did_not_run"]),
        ("no_data_centre", &json!(true))
    );
    system.cluster.set_link("platform", standin::LinkMode::Open).await;
    system
        .until("work starts again", async || {
            system
                .submit(0, &job("again", "urgent", true, 10))
                .await
                .text("outcome")
                == "ran"
        })
        .await;
}
