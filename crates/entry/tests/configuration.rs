//! Configuration: accepted changes are in force everywhere, concurrent operators cannot overwrite each other's changes,
//! and a data centre can be taken out while the store is unreachable.

mod support;

use model::{Config, Guarantee, Organisation, Shape};
use serde_json::json;
use standin::LinkMode;
use support::{TestSystem, config, job};

async fn version(system: &TestSystem, instance: usize) -> u64 {
    system.get(instance, "/v1/config").await.body["version"]
        .as_u64()
        .unwrap_or(0)
}

async fn out_state(system: &TestSystem, instance: usize, data_centre: &str) -> String {
    let status = system.get(instance, "/v1/config/status").await;
    let dcs = status.body["data_centres"].as_array().cloned().unwrap_or_default();
    let dc = dcs.iter().find(|dc| dc["data_centre"] == data_centre);
    dc.and_then(|dc| dc["out"].as_str()).unwrap_or_default().to_owned()
}

/// Guards against a lost update when two operators change version 1 at the same time: only one change may be accepted.
#[actix_web::test]
async fn one_of_two_concurrent_changes_is_rejected_with_both_versions() {
    let system = TestSystem::start_unconfigured(3).await;
    system.put_config(0, 0, &config()).await;
    let with = |name: &str| {
        let mut config = config();
        config.organisations.push(Organisation::new(name.parse().unwrap()));
        config
    };
    let (first, second) = (with("tay-koi"), with("dee-koi"));
    let (a, b) = futures_util::future::join(system.put_config(0, 1, &first), system.put_config(1, 1, &second)).await;
    let (accepted, rejected) = if a.status == 200 { (a, b) } else { (b, a) };
    assert_eq!((accepted.status.as_u16(), rejected.status.as_u16()), (200, 412));
    assert_eq!(rejected.text("code"), "config_conflict");
    assert_eq!(
        (&rejected.body["based_on_version"], &rejected.body["current_version"]),
        (&json!(1), &json!(2))
    );
    assert_eq!(rejected.body["current_config"], accepted.body);
    system
        .until("the accepted change is in force everywhere", async || {
            version(&system, 0).await == 2 && version(&system, 1).await == 2 && version(&system, 2).await == 2
        })
        .await;
}

/// Guards against a change that is reported as failed or is written twice because the store's reply was lost.
#[actix_web::test]
async fn configuration_is_read_back_after_a_lost_store_reply() {
    let system = TestSystem::start_unconfigured(1).await;
    system.put_config(0, 0, &config()).await;
    let faults = standin::PlatformFaults {
        lose_next: 1,
        ..Default::default()
    };
    system.cluster.set_platform_faults(faults).await;
    assert_eq!(system.put_config(0, 1, &config()).await.status, 200);
    assert_eq!(version(&system, 0).await, 2);
}

/// Guards against a lost change when two operators take different data centres out at the same time.
#[actix_web::test]
async fn concurrent_outs_of_two_data_centres_both_take_effect() {
    let system = TestSystem::start(3).await;
    let (a, b) = futures_util::future::join(
        system.post(0, "/v1/data-centres/dc1/out", &json!({})),
        system.post(1, "/v1/data-centres/dc2/out", &json!({})),
    )
    .await;
    assert_eq!((a.status.as_u16(), b.status.as_u16()), (200, 200), "{a:?} {b:?}");
    system
        .until("both are in force", async || {
            out_state(&system, 2, "dc1").await == "in_force" && out_state(&system, 2, "dc2").await == "in_force"
        })
        .await;
    let reply = system.submit(0, &job("elsewhere", "deferred", false, 10)).await;
    assert_eq!(reply.text("outcome"), "ran");
    let urgent = system.submit(0, &job("urgent-elsewhere", "urgent", true, 10)).await;
    assert_eq!(urgent.text("outcome"), "ran", "{urgent:?}");
    let log = system.cluster.log().await;
    assert!(log.iter().all(|entry| entry.data_centre.as_str() == "dc3"), "{log:?}");
    let back = system.post(2, "/v1/data-centres/dc1/in", &json!({})).await;
    assert_eq!((back.text("state"), &back.body["version"]), ("recorded", &json!(4)));
}

/// Guards against a data centre that cannot be taken out because the store is unreachable, and against an overlay that
/// remains after the version that replaces it.
#[actix_web::test]
async fn local_out_is_shared_and_recorded_once_the_store_is_back() {
    let system = TestSystem::start(4).await;
    system.cluster.set_link("platform", LinkMode::Cut).await;
    let remote = system.post(1, "/v1/data-centres/dc1/out", &json!({})).await;
    assert_eq!(
        (remote.status.as_u16(), remote.text("code")),
        (503, "store_unavailable")
    );
    let local = system.post(0, "/v1/data-centres/dc1/out", &json!({})).await;
    assert_eq!(local.text("state"), "in_force_locally", "{local:?}");
    system
        .until("the other instance of dc1 starts nothing there", async || {
            let status = system.get(3, "/v1/config/status").await;
            status.body["data_centres"][0]["local_out"] == json!(["e1"])
        })
        .await;
    let elsewhere = system.post(3, "/v1/data-centres/dc1/in", &json!({})).await;
    assert_eq!(elsewhere.text("code"), "local_out_elsewhere");
    system.cluster.set_link("platform", LinkMode::Open).await;
    system
        .until("the out is recorded and the overlay removed", async || {
            let status = system.get(2, "/v1/config/status").await;
            let dc = &status.body["data_centres"][0];
            dc["in_service"] == false && dc["local_out"].is_null() && version(&system, 2).await == 2
        })
        .await;
}

/// Guards against an instance that serves with no configuration or an outdated one after a restart.
#[actix_web::test]
async fn restart_without_the_store_fetches_the_configuration_from_peers() {
    let mut system = TestSystem::start(2).await;
    system.cluster.set_link("platform", LinkMode::Cut).await;
    system.stop(0).await;
    system.restart(0);
    system
        .until("the configuration came from the peer", async || {
            version(&system, 0).await == 1
        })
        .await;
    assert_eq!(system.get(0, "/readyz").await.status, 200);
    system.stop(1).await;
    system.stop(0).await;
    system.restart(0);
    let refused = system.submit(0, &job("r", "deferred", true, 10)).await;
    assert_eq!(
        (refused.status.as_u16(), refused.text("code")),
        (503, "no_configuration")
    );
    assert_eq!(refused.body["did_not_run"], true);
}

/// Guards against guarantees that fit one by one but not together.
#[actix_web::test]
async fn guarantees_that_do_not_fit_together_are_refused() {
    let system = TestSystem::start_unconfigured(1).await;
    let with = |count| {
        let guarantee = Guarantee {
            shape: Shape::new(1, 8, model::Adjacency::Worker),
            count,
            data_centre: Some("dc1".parse().unwrap()),
        };
        let mut config: Config = config();
        config.organisations[0].guarantees.push(guarantee);
        config
    };
    assert_eq!(system.put_config(0, 0, &with(2)).await.status, 200);
    let refused = system.put_config(0, 1, &with(3)).await;
    assert_eq!(refused.text("code"), "guarantee_does_not_fit");
    assert!(refused.text("detail").contains("clyde-koi"), "{refused:?}");
    assert_eq!(version(&system, 0).await, 1);
}
