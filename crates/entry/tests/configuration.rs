//! Configuration: accepted changes are in force everywhere, racing operators cannot overwrite each other, and a data
//! centre can be taken out while the store is away.

mod support;

use model::{Config, Guarantee, Organisation, Shape};
use serde_json::json;
use standin::LinkMode;
use support::{Site, config, job};

async fn version(site: &Site, entry: usize) -> u64 {
    site.get(entry, "/v1/config").await.body["version"]
        .as_u64()
        .unwrap_or(0)
}

async fn out_state(site: &Site, entry: usize, data_centre: &str) -> String {
    let status = site.get(entry, "/v1/config/status").await;
    let dcs = status.body["data_centres"].as_array().cloned().unwrap_or_default();
    let dc = dcs.iter().find(|dc| dc["data_centre"] == data_centre);
    dc.and_then(|dc| dc["out"].as_str()).unwrap_or_default().to_owned()
}

/// Guards against a lost update: both operators start from version 1, and only one may win.
#[actix_web::test]
async fn racing_operators_get_one_winner_and_both_versions() {
    let site = Site::bare(3).await;
    site.put_config(0, 0, &config()).await;
    let with = |name: &str| {
        let mut config = config();
        config.organisations.push(Organisation::new(name.parse().unwrap()));
        config
    };
    let (first, second) = (with("tay-koi"), with("dee-koi"));
    let (a, b) = futures_util::future::join(site.put_config(0, 1, &first), site.put_config(1, 1, &second)).await;
    let (won, lost) = if a.status == 200 { (a, b) } else { (b, a) };
    assert_eq!((won.status.as_u16(), lost.status.as_u16()), (200, 412));
    assert_eq!(lost.text("code"), "config_conflict");
    assert_eq!(
        (&lost.body["based_on_version"], &lost.body["current_version"]),
        (&json!(1), &json!(2))
    );
    assert_eq!(lost.body["current_config"], won.body);
    site.until("the winner is in force everywhere", async || {
        version(&site, 0).await == 2 && version(&site, 1).await == 2 && version(&site, 2).await == 2
    })
    .await;
}

/// Guards against a change that is reported as failed, or repeated, because the store's reply was lost.
#[actix_web::test]
async fn lost_reply_of_the_store_is_read_back() {
    let site = Site::bare(1).await;
    site.put_config(0, 0, &config()).await;
    let faults = standin::PlatformFaults {
        lose_next: 1,
        ..Default::default()
    };
    site.cluster.set_platform_faults(faults).await;
    assert_eq!(site.put_config(0, 1, &config()).await.status, 200);
    assert_eq!(version(&site, 0).await, 2);
}

/// Guards against operators who race over the service of two data centres and lose one change.
#[actix_web::test]
async fn outs_of_two_data_centres_both_take_effect() {
    let site = Site::start(3).await;
    let (a, b) = futures_util::future::join(
        site.post(0, "/v1/data-centres/dc1/out", &json!({})),
        site.post(1, "/v1/data-centres/dc2/out", &json!({})),
    )
    .await;
    assert_eq!((a.status.as_u16(), b.status.as_u16()), (200, 200), "{a:?} {b:?}");
    site.until("both are in force", async || {
        out_state(&site, 2, "dc1").await == "in_force" && out_state(&site, 2, "dc2").await == "in_force"
    })
    .await;
    let reply = site.submit(0, &job("elsewhere", "deferred", false, 10)).await;
    assert_eq!(reply.text("outcome"), "ran");
    let urgent = site.submit(0, &job("urgent-elsewhere", "urgent", true, 10)).await;
    assert_eq!(urgent.text("outcome"), "ran", "{urgent:?}");
    let log = site.cluster.log().await;
    assert!(log.iter().all(|entry| entry.data_centre.as_str() == "dc3"), "{log:?}");
    let back = site.post(2, "/v1/data-centres/dc1/in", &json!({})).await;
    assert_eq!((back.text("state"), &back.body["version"]), ("recorded", &json!(4)));
}

/// Guards against a data centre that cannot be taken out because the store is away (R3), and against an overlay that
/// outlives the version which replaces it.
#[actix_web::test]
async fn local_out_is_shared_and_recorded_once_the_store_is_back() {
    let site = Site::start(4).await;
    site.cluster.set_link("platform", LinkMode::Cut).await;
    let remote = site.post(1, "/v1/data-centres/dc1/out", &json!({})).await;
    assert_eq!(
        (remote.status.as_u16(), remote.text("code")),
        (503, "store_unavailable")
    );
    let local = site.post(0, "/v1/data-centres/dc1/out", &json!({})).await;
    assert_eq!(local.text("state"), "in_force_locally", "{local:?}");
    site.until("the other instance of dc1 starts nothing there", async || {
        let status = site.get(3, "/v1/config/status").await;
        status.body["data_centres"][0]["local_out"] == json!(["e1"])
    })
    .await;
    let elsewhere = site.post(3, "/v1/data-centres/dc1/in", &json!({})).await;
    assert_eq!(elsewhere.text("code"), "local_out_elsewhere");
    site.cluster.set_link("platform", LinkMode::Open).await;
    site.until("the out is recorded and the overlay dropped", async || {
        let status = site.get(2, "/v1/config/status").await;
        let dc = &status.body["data_centres"][0];
        dc["in_service"] == false && dc["local_out"].is_null() && version(&site, 2).await == 2
    })
    .await;
}

/// Guards against an instance that serves without, or with an old, configuration after a restart.
#[actix_web::test]
async fn restart_without_the_store_takes_the_configuration_from_peers() {
    let mut site = Site::start(2).await;
    site.cluster.set_link("platform", LinkMode::Cut).await;
    site.stop(0).await;
    site.restart(0);
    site.until("the configuration came from the peer", async || {
        version(&site, 0).await == 1
    })
    .await;
    assert_eq!(site.get(0, "/readyz").await.status, 200);
    site.stop(1).await;
    site.stop(0).await;
    site.restart(0);
    let refused = site.submit(0, &job("r", "deferred", true, 10)).await;
    assert_eq!(
        (refused.status.as_u16(), refused.text("code")),
        (503, "no_configuration")
    );
    assert_eq!(refused.body["did_not_run"], true);
}

/// Guards against guarantees that are accepted one by one but cannot be met together.
#[actix_web::test]
async fn guarantees_that_do_not_fit_together_are_refused() {
    let site = Site::bare(1).await;
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
    assert_eq!(site.put_config(0, 0, &with(2)).await.status, 200);
    let refused = site.put_config(0, 1, &with(3)).await;
    assert_eq!(refused.text("code"), "guarantee_does_not_fit");
    assert!(refused.text("detail").contains("clyde-koi"), "{refused:?}");
    assert_eq!(version(&site, 0).await, 1);
}
