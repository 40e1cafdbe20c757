//! Outages of the store and partitions between data centres: each data centre must keep serving what it can.

mod common;

use std::time::Duration;

use common::{assert_passed, options, quote, revaluation, start, submit};
use fleet::Fleet;
use serde_json::json;

/// Fraction of the idempotent throughput that must remain in an isolated data centre.
const MIN_REMAINING_RATIO: f64 = 0.9;

/// Submits idempotent quotes one after the other and returns how many ran.
async fn quotes_that_ran(fleet: &Fleet, servers: &[String], name: &str, count: usize) -> usize {
    let mut ran = 0;
    for number in 0..count {
        let job = quote(&format!("{name}-{number}"), 20);
        let (status, body) = submit(fleet, &servers[number % servers.len()], &job, 3_000).await;
        ran += usize::from(status == 200 && body["outcome"] == "ran");
    }
    ran
}

/// Guards against a data centre that stops idempotent work when it is isolated from the platform and all peers.
#[actix_rt::test]
async fn isolated_data_centre_keeps_idempotent_throughput() {
    let fleet = start().await;
    let dc2_servers = fleet.servers_in("dc2");
    let before = quotes_that_ran(&fleet, &dc2_servers, "before", 60).await;
    fleet.set_links(&fleet.links_of("dc2"), "silence_all").await.unwrap();
    // Longer than the lease of every grant and the time to live of the scheduling lease.
    actix_rt::time::sleep(Duration::from_secs(8)).await;
    let during = quotes_that_ran(&fleet, &dc2_servers, "during", 60).await;
    // Without the store, non-idempotent work must not run. It is unknown here whether the record was written or an
    // earlier request with the same id was accepted elsewhere, so the reply must not claim that the job did not run.
    let job = revaluation("cut-1", 20);
    let (status, body) = submit(&fleet, &dc2_servers[0], &job, 3_000).await;
    let is_refused = status == 503 && body["code"] == "store_unavailable" && body["did_not_run"] == false;
    assert!(is_refused || body["outcome"] == "indeterminate", "{status} {body}");
    let starts = async || {
        let started = fleet.executions().await.unwrap();
        let of_job = started.iter().filter(|entry| entry.task.job == job.id());
        of_job.filter(|entry| entry.event == standin::LogEvent::Start).count()
    };
    assert_eq!(starts().await, 0, "non-idempotent work ran without a durable record");
    fleet.set_links(&fleet.links_of("dc2"), "open").await.unwrap();
    println!("idempotent answers: {before} of 60 before, {during} of 60 during the cut");
    assert!(
        during as f64 >= MIN_REMAINING_RATIO * before as f64,
        "{during} during the cut, {before} before"
    );
    let ran = async || submit(&fleet, &dc2_servers[1], &job, 2_000).await.1["outcome"] == "ran";
    fleet
        .wait_until("the repeated request", Duration::from_secs(20), ran)
        .await
        .unwrap();
    assert_eq!(starts().await, 1);
}

/// Guards against a burst of writes after an outage, and against answers that are lost in it.
#[actix_rt::test]
async fn store_outage_loses_no_job_and_causes_no_write_burst() {
    let fleet = start().await;
    let load = actix_rt::spawn({
        let options = options(&fleet, 24, 30, 21);
        async move { load::run(&options).await }
    });
    actix_rt::time::sleep(Duration::from_secs(5)).await;
    fleet.set_platform_faults(&json!({ "outage": true })).await.unwrap();
    actix_rt::time::sleep(Duration::from_secs(10)).await;
    fleet.set_platform_faults(&json!({})).await.unwrap();
    let mut highest = 0;
    for _ in 0..8 {
        let before = fleet.platform_stats().await.unwrap()["writes"].as_u64().unwrap_or(0);
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let after = fleet.platform_stats().await.unwrap()["writes"].as_u64().unwrap_or(0);
        highest = highest.max(after - before);
    }
    println!("most writes in a second after the outage: {highest}");
    // Six instances with a budget of 60 writes a second each.
    assert!(highest <= 360, "{highest} writes in a second");
    assert_passed(&fleet, &load.await.unwrap().unwrap()).await;
}

/// Guards against a second run when the store applies a write and its reply is lost.
#[actix_rt::test]
async fn lost_store_replies_duplicate_no_run() {
    let fleet = start().await;
    fleet.set_platform_faults(&json!({ "lose_every": 5 })).await.unwrap();
    let report = load::run(&options(&fleet, 12, 20, 22)).await.unwrap();
    fleet.set_platform_faults(&json!({})).await.unwrap();
    assert_passed(&fleet, &report).await;
}

/// Guards against requests that wait forever on stalled connections while new connections work.
#[actix_rt::test]
async fn stalled_connections_are_replaced() {
    let fleet = start().await;
    let load = actix_rt::spawn({
        let options = options(&fleet, 16, 30, 23);
        async move { load::run(&options).await }
    });
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    fleet.set_links(&[], "silence_existing").await.unwrap();
    assert_passed(&fleet, &load.await.unwrap().unwrap()).await;
}
