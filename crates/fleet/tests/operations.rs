//! Operations: graceful stops, data centres out of service and back, configuration changes, draining workers.

mod common;

use std::time::{Duration, Instant};

use common::{assert_no_partial_gang, assert_passed, options, quote, start, start_with, submit};
use fleet::{Fleet, Layout};
use serde_json::json;

/// Longest time until a configuration is in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);
/// Longest time for which tasks may still start after a data centre was taken out of service or a worker began to drain
/// ("a few seconds").
const MAX_LATE_START_MS: u64 = 4_000;
/// Longest time for which a gang that lost a part may run on: 5 s lease of the unresponsive worker and 2 s to stop the
/// other parts.
const MAX_PARTIAL_GANG_MS: u64 = 7_000;

/// Guards against requests that are interrupted when all instances are restarted one after the other.
#[actix_rt::test]
async fn restarting_all_instances_interrupts_no_request() {
    let mut fleet = start().await;
    let load = actix_rt::spawn({
        let options = options(&fleet, 45, 25, 31);
        async move { load::run(&options).await }
    });
    for index in 0..fleet.instances.len() {
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let mut process = fleet.instances[index].process.take().unwrap();
        process.terminate();
        let status = process.wait_for_exit(Duration::from_secs(30)).await.unwrap();
        assert!(
            status.success(),
            "{} ended with {status}:\n{}",
            fleet.instances[index].name,
            process.log()
        );
        fleet.start_instance(index).unwrap();
        fleet.wait_ready(index).await.unwrap();
    }
    let report = load.await.unwrap().unwrap();
    assert_passed(&fleet, &report).await;
    assert_eq!(report.interrupted, 0, "{report}");
}

/// Guards against starts in a data centre that operators have taken out of service, and against partial gangs while it
/// drains.
#[actix_rt::test]
async fn no_task_starts_in_a_data_centre_that_is_out_of_service() {
    let fleet = start().await;
    let mut options = options(&fleet, 20, 30, 32);
    options.absence = Some(("dc2".into(), 5, 14));
    let report = load::run(&options).await.unwrap();
    assert_passed(&fleet, &report).await;
    let timeline = fleet.timeline().await;
    let at = |kind| {
        let records = timeline.iter().filter(|record| record.event.kind == kind);
        let of_dc2 = records.filter(|record| record.event.data_centre.as_ref().is_some_and(|dc| dc.as_str() == "dc2"));
        of_dc2.map(|record| record.at_unix_ms).min()
    };
    let out_ms =
        at(trace::EventKind::DataCentreOut).expect("the timeline shows that the data centre was taken out of service");
    let in_ms = timeline
        .iter()
        .filter(|record| record.event.kind == trace::EventKind::DataCentreIn && record.at_unix_ms > out_ms)
        .map(|record| record.at_unix_ms)
        .min()
        .expect("the timeline shows that the data centre was put back");
    let executions = fleet.executions().await.unwrap();
    let late = executions.iter().filter(|entry| {
        entry.event == standin::LogEvent::Start
            && entry.data_centre.as_str() == "dc2"
            && entry.unix_ms > out_ms + MAX_LATE_START_MS
            && entry.unix_ms < in_ms
    });
    assert_eq!(late.count(), 0, "a task started in dc2 while it was out");
    let returned = executions
        .iter()
        .any(|entry| entry.data_centre.as_str() == "dc2" && entry.unix_ms > in_ms);
    assert!(returned, "dc2 takes no work after its return");
    assert_no_partial_gang(&executions, &report.parts, MAX_PARTIAL_GANG_MS);
}

/// Applies one configuration change and returns the time until it was in force at every instance.
async fn apply_change(fleet: &Fleet, number: u64) -> Duration {
    let servers = fleet.servers();
    let server = &servers[number as usize % servers.len()];
    let base = fleet.config_version(&servers[0]).await;
    let current = fleet.get(&format!("{server}/v1/config")).await.unwrap();
    let mut config: model::Config = serde_json::from_value(current).unwrap();
    config.organisations[0].weight = 1 + (number % 9) as u32;
    let start = Instant::now();
    let accepted = async || fleet.put_config(server, &config, base).await == 200;
    fleet
        .wait_until("accepted configuration", Duration::from_secs(5), accepted)
        .await
        .unwrap();
    let everywhere = async || {
        for server in &servers {
            if fleet.config_version(server).await <= base {
                return false;
            }
        }
        true
    };
    fleet
        .wait_until("configuration in force everywhere", IN_FORCE_TIMEOUT, everywhere)
        .await
        .unwrap();
    start.elapsed()
}

/// Guards against a configuration that reaches instances over a single path, store or peers, and so is not in force
/// within 7 s while that path is cut.
#[actix_rt::test]
async fn configuration_is_in_force_within_7_s_with_either_path_cut() {
    let fleet = start_with(Layout::new().workers(24)).await;
    let mut slowest = Duration::ZERO;
    // Without its link to the platform, dc2 depends on its peers.
    fleet.set_links(&["dc2>platform".to_owned()], "cut").await.unwrap();
    for number in 0..20 {
        // Only instances that reach the store accept changes, so these go to dc1 and dc3.
        slowest = slowest.max(apply_change(&fleet, [0, 1, 4, 5][number % 4] as u64 + 6 * number as u64).await);
    }
    fleet.set_links(&["dc2>platform".to_owned()], "open").await.unwrap();
    // Without its links to other data centres, dc3 depends on polling the platform.
    fleet.set_links(&fleet.peer_links_of("dc3"), "cut").await.unwrap();
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    for number in 0..20 {
        slowest = slowest.max(apply_change(&fleet, number).await);
    }
    println!("slowest change with one path cut: {} ms", slowest.as_millis());
    assert!(slowest <= IN_FORCE_TIMEOUT);
}

/// Guards against two conflicting configuration changes that are both reported as accepted.
#[actix_rt::test]
async fn only_one_of_two_conflicting_configurations_is_accepted() {
    let fleet = start().await;
    let servers = fleet.servers();
    for round in 0..10 {
        let base = fleet.config_version(&servers[0]).await;
        let current = fleet.get(&format!("{}/v1/config", servers[0])).await.unwrap();
        let mut first: model::Config = serde_json::from_value(current).unwrap();
        let mut second = first.clone();
        first.organisations[0].weight = 100 + round;
        second.organisations[0].weight = 200 + round;
        let (a, b) = futures_util::join!(
            fleet.put_config(&servers[1], &first, base),
            fleet.put_config(&servers[4], &second, base),
        );
        let accepted = [a, b].into_iter().filter(|status| *status == 200).count();
        assert_eq!(accepted, 1, "statuses {a} and {b}");
        assert!([a, b].contains(&409) || [a, b].contains(&412), "statuses {a} and {b}");
        let reached = async || fleet.config_version(&servers[0]).await > base;
        fleet
            .wait_until("next version", IN_FORCE_TIMEOUT, reached)
            .await
            .unwrap();
    }
}

/// Guards against new work on a draining worker while the platform's list of workers is frozen.
#[actix_rt::test]
async fn draining_workers_get_no_new_work() {
    let fleet = start().await;
    fleet
        .set_platform_faults(&json!({ "freeze_list": true }))
        .await
        .unwrap();
    let draining = json!({ "racks": ["dc1-r1"], "faults": { "leaving": true } });
    fleet.set_worker_faults(&draining).await.unwrap();
    let since_unix_ms = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let load = actix_rt::spawn({
        let options = options(&fleet, 10, 30, 33);
        async move { load::run(&options).await }
    });
    actix_rt::time::sleep(Duration::from_secs(12)).await;
    let executions = fleet.executions().await.unwrap();
    // Gangs that need a whole rack cannot be placed until this one is back: the other racks hold granted slots.
    fleet
        .set_worker_faults(&json!({ "racks": ["dc1-r1"], "faults": {} }))
        .await
        .unwrap();
    assert_passed(&fleet, &load.await.unwrap().unwrap()).await;
    let late = executions.iter().filter(|entry| {
        entry.event == standin::LogEvent::Start
            && entry.worker.as_str().starts_with("dc1-r1-")
            && entry.unix_ms > since_unix_ms + MAX_LATE_START_MS
    });
    assert_eq!(late.count(), 0, "a draining worker got new work");
}

/// Guards against an instance that, restarted during a store outage, serves without the configuration.
#[actix_rt::test]
async fn restart_without_the_store_takes_the_configuration_from_peers() {
    let mut fleet = start().await;
    let version = fleet.config_version(&fleet.servers()[0]).await;
    fleet.set_platform_faults(&json!({ "outage": true })).await.unwrap();
    fleet.instances[0].process.as_mut().unwrap().kill();
    fleet.start_instance(0).unwrap();
    fleet.wait_ready(0).await.unwrap();
    let server = fleet.instances[0].url();
    assert_eq!(fleet.config_version(&server).await, version);
    let answered = async || submit(&fleet, &server, &quote("after-restart", 20), 3_000).await.0 == 200;
    fleet
        .wait_until(
            "an answer from the restarted instance",
            Duration::from_secs(10),
            answered,
        )
        .await
        .unwrap();
}

/// Guards against an instance that serves although it got a configuration from neither the store nor a peer.
#[actix_rt::test]
async fn instance_without_configuration_refuses_requests() {
    let mut layout = Layout::new().workers(8);
    layout.data_centres = 1;
    layout.entries_per_data_centre = 1;
    let fleet = Fleet::start(layout).await.unwrap();
    let server = fleet.instances[0].url();
    let listening = async || fleet.status_of(&format!("{server}/healthz")).await == 200;
    fleet
        .wait_until("the instance to listen", Duration::from_secs(10), listening)
        .await
        .unwrap();
    let (status, problem) = submit(&fleet, &server, &quote("early", 20), 500).await;
    assert_eq!(
        (status, problem["code"].as_str()),
        (503, Some("no_configuration")),
        "{problem}"
    );
    assert_eq!(problem["did_not_run"], true);
}
