//! Failure of the scheduler and of instances: no job may be lost or run twice, and work must resume within 5 s.

mod common;

use std::time::{Duration, Instant};

use common::{assert_passed, options, revaluation, start, submit};

/// Longest time from the crash of a scheduler to the first start under its successor.
const MAX_FAILOVER_TIME: Duration = Duration::from_secs(5);

/// Guards against a successor that takes too long to rebuild its state.
#[actix_rt::test]
async fn successor_starts_work_within_5_s_of_a_scheduler_crash() {
    let mut fleet = start().await;
    let holder = fleet.scheduler_of("dc1").await.expect("dc1 has a scheduler");
    let other = fleet
        .servers_in("dc1")
        .into_iter()
        .find(|url| *url != fleet.instances[holder].url())
        .unwrap();
    fleet.instances[holder].process.as_mut().unwrap().kill();
    let killed_unix_ms = unix_ms();
    // Jobs keep arriving, so that one is waiting as soon as the successor can start it.
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < MAX_FAILOVER_TIME {
        number += 1;
        submit(&fleet, &other, &revaluation(&format!("failover-{number}"), 50), 0).await;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let executions = fleet.executions().await.unwrap();
    let in_dc1 = executions
        .iter()
        .find(|entry| entry.data_centre.as_str() == "dc1" && entry.unix_ms > killed_unix_ms);
    let first_ms = in_dc1.expect("work starts in dc1").unix_ms - killed_unix_ms;
    println!("first start in dc1 after {first_ms} ms");
    assert!(
        first_ms <= MAX_FAILOVER_TIME.as_millis() as u64,
        "first start after {first_ms} ms"
    );
}

/// Guards against lost, duplicate or wrong answers while schedulers are killed and restarted.
#[actix_rt::test]
async fn killed_instances_lose_and_duplicate_no_job() {
    let mut fleet = start().await;
    let load = actix_rt::spawn({
        let options = options(&fleet, 20, 30, 11);
        async move { load::run(&options).await }
    });
    for data_centre in ["dc1", "dc2"] {
        actix_rt::time::sleep(Duration::from_secs(4)).await;
        let holder = fleet.scheduler_of(data_centre).await.expect("a scheduler");
        fleet.instances[holder].process.as_mut().unwrap().kill();
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        fleet.start_instance(holder).unwrap();
    }
    assert_passed(&fleet, &load.await.unwrap().unwrap()).await;
}

/// Guards against commands of a lease holder that was paused until its leases expired and then resumed.
#[actix_rt::test]
async fn paused_lease_holder_is_fenced_when_it_resumes() {
    let fleet = start().await;
    let load = actix_rt::spawn({
        let options = options(&fleet, 22, 30, 12);
        async move { load::run(&options).await }
    });
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    let holder = fleet.scheduler_of("dc1").await.expect("a scheduler");
    fleet.instances[holder].process.as_ref().unwrap().pause();
    actix_rt::time::sleep(Duration::from_secs(12)).await;
    let successor = fleet.scheduler_of("dc1").await.expect("a successor");
    assert_ne!(holder, successor, "a successor took over the lease");
    let resumed_unix_ms = unix_ms();
    fleet.instances[holder].process.as_ref().unwrap().resume();
    assert_passed(&fleet, &load.await.unwrap().unwrap()).await;
    // Starts after the resumption carry the epoch of the successor or, on grants, any epoch whose lease is still valid.
    let executions = fleet.executions().await.unwrap();
    let in_dc1: Vec<_> = executions
        .iter()
        .filter(|entry| entry.data_centre.as_str() == "dc1")
        .collect();
    let newest = in_dc1.iter().map(|entry| entry.epoch).max().unwrap();
    let deferred = |entry: &&&standin::LogEntry| entry.task.job.request.as_str().contains("revaluation");
    let stale = in_dc1.iter().filter(deferred).filter(|entry| {
        entry.unix_ms > resumed_unix_ms && entry.epoch < newest && entry.event == standin::LogEvent::Start
    });
    assert_eq!(stale.count(), 0, "a start under an old epoch was accepted");
}

/// Guards against a second run when a caller repeats its request at another instance.
#[actix_rt::test]
async fn repeated_request_at_another_instance_is_the_same_job() {
    let fleet = start().await;
    let servers = fleet.servers();
    let job = revaluation("repeated-1", 600);
    let (first, second) = futures_util::join!(
        submit(&fleet, &servers[0], &job, 5_000),
        submit(&fleet, &servers[3], &job, 5_000),
    );
    assert_eq!((first.0, second.0), (200, 200), "{first:?} {second:?}");
    assert_eq!(first.1, second.1);
    assert_eq!(first.1["outcome"], "ran");
    let other_body = revaluation("repeated-1", 700);
    let (status, problem) = submit(&fleet, &servers[1], &other_body, 1_000).await;
    assert_eq!(
        (status, problem["code"].as_str()),
        (409, Some("request_id_reused")),
        "{problem}"
    );
    let starts = fleet.executions().await.unwrap();
    let starts = starts.iter().filter(|entry| entry.event == standin::LogEvent::Start);
    assert_eq!(starts.filter(|entry| entry.task.job == job.id()).count(), 1);
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}
