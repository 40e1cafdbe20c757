//! Outages of the store and cuts between data centres: each data centre must go on serving what it can.

mod common;

use std::time::Duration;

use common::{assert_passed, options, quote, revaluation, start, submit};
use fleet::Fleet;
use serde_json::json;

/// Share of the idempotent throughput that must remain in a cut-off data centre.
const REMAINING: f64 = 0.9;

/// Answers idempotent quotes one after the other for a while and returns how many ran.
async fn quotes_that_ran(fleet: &Fleet, servers: &[String], name: &str, count: usize) -> usize {
    let mut ran = 0;
    for number in 0..count {
        let job = quote(&format!("{name}-{number}"), 20);
        let (status, body) = submit(fleet, &servers[number % servers.len()], &job, 3_000).await;
        ran += usize::from(status == 200 && body["outcome"] == "ran");
    }
    ran
}

/// Guards against a data centre that stops idempotent work when it is cut off from everything.
#[actix_rt::test]
async fn cut_off_data_centre_keeps_idempotent_throughput() {
    let fleet = start().await;
    let inside = fleet.servers_in("dc2");
    let before = quotes_that_ran(&fleet, &inside, "before", 60).await;
    fleet.links(&fleet.links_of("dc2"), "silence_all").await.unwrap();
    // Past the lease of every grant and past the life of the scheduling lease.
    actix_rt::time::sleep(Duration::from_secs(8)).await;
    let during = quotes_that_ran(&fleet, &inside, "during", 60).await;
    // Without the store non-idempotent work must be refused. Whether an earlier request with the same id was accepted
    // elsewhere is unknown here, so the refusal claims nothing about the job.
    let (status, problem) = submit(&fleet, &inside[0], &revaluation("cut-1", 20), 3_000).await;
    assert_eq!(
        (status, problem["code"].as_str()),
        (503, Some("store_unavailable")),
        "{problem}"
    );
    assert_eq!(problem["did_not_run"], false, "{problem}");
    fleet.links(&fleet.links_of("dc2"), "open").await.unwrap();
    println!("idempotent answers: {before} of 60 before, {during} of 60 during the cut");
    assert!(
        during as f64 >= REMAINING * before as f64,
        "{during} during the cut, {before} before"
    );
    let started = fleet.executions().await.unwrap();
    assert!(
        !started.iter().any(|entry| entry.task.job.request.as_str() == "cut-1"),
        "a refused job ran"
    );
}

/// Guards against a storm of writes after an outage, and against answers that get lost in it.
#[actix_rt::test]
async fn store_outage_loses_nothing_and_ends_without_a_storm() {
    let fleet = start().await;
    let load = actix_rt::spawn({
        let options = options(&fleet, 24, 30, 21);
        async move { load::run(&options).await }
    });
    actix_rt::time::sleep(Duration::from_secs(5)).await;
    fleet.platform_faults(&json!({ "outage": true })).await.unwrap();
    actix_rt::time::sleep(Duration::from_secs(10)).await;
    fleet.platform_faults(&json!({})).await.unwrap();
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
async fn lost_store_replies_double_nothing() {
    let fleet = start().await;
    fleet.platform_faults(&json!({ "lose_every": 5 })).await.unwrap();
    let report = load::run(&options(&fleet, 12, 20, 22)).await.unwrap();
    fleet.platform_faults(&json!({})).await.unwrap();
    assert_passed(&fleet, &report).await;
}

/// Guards against requests that wait forever on connections that went silent while new ones work.
#[actix_rt::test]
async fn silent_connections_are_replaced() {
    let fleet = start().await;
    let load = actix_rt::spawn({
        let options = options(&fleet, 16, 30, 23);
        async move { load::run(&options).await }
    });
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    fleet.links(&[], "silence_existing").await.unwrap();
    assert_passed(&fleet, &load.await.unwrap().unwrap()).await;
}
