//! Failure tests of the platform client against a stand-in platform.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use bytes::Bytes;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;
use standin::testing::Cluster;
use standin::{LinkMode, PlatformFaults, PlatformOptions, WorkersOptions};
use store::{
    Directory, Expected, ListedState, Objects, PlatformClient, PlatformClientOptions, Resolved, StoreError, Table, Txn,
    Urgency,
};

const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);

fn options(url: String) -> PlatformClientOptions {
    PlatformClientOptions::new(url)
        .timeout(Duration::from_millis(150))
        .connect_timeout(Duration::from_millis(100))
        .probe_delay(Duration::from_millis(50), Duration::from_millis(200))
        .idle_check_interval(Duration::from_millis(50))
}

fn insert(key: &str) -> Txn {
    Txn::new().put(key, Expected::Absent, json!({"key": key}))
}

fn lose_next(lose_hang_ms: u64) -> PlatformFaults {
    PlatformFaults {
        lose_next: 1,
        lose_hang_ms,
        ..PlatformFaults::default()
    }
}

/// Guards against a write that took effect but is reported as failed, or applied twice, because its reply was lost.
#[rstest]
#[case::connection_breaks(0)]
#[case::no_reply(1000)]
#[actix_rt::test]
async fn lost_reply_is_read_back(#[case] lose_hang_ms: u64) {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(options(cluster.platform().url()));

    cluster.set_platform_faults(lose_next(lose_hang_ms)).await;
    assert_eq!(
        client.commit(&insert("job/a/1"), Urgency::Job).await,
        Err(StoreError::Unknown)
    );

    cluster.set_platform_faults(lose_next(lose_hang_ms)).await;
    let txn = insert("job/a/2").put("charge/a/2", Expected::Absent, json!(1));
    let resolved = client
        .commit_resolved(&txn, Urgency::Job, RESOLVE_TIMEOUT)
        .await
        .unwrap();
    let versions = [
        client.read("job/a/2").await.unwrap().unwrap().version,
        client.read("charge/a/2").await.unwrap().unwrap().version,
    ];
    assert_eq!(
        resolved,
        Resolved::Written {
            versions: versions.to_vec()
        }
    );
    let stats = cluster.platform_stats().await;
    assert_eq!((stats.writes, stats.lost), (2, 2), "nothing was written twice");
}

/// Guards against a slow write that takes effect after the client's read-back found no row.
#[actix_rt::test]
async fn late_write_takes_effect_once() {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(options(cluster.platform().url()));
    let slow = PlatformFaults {
        slow_ms: 400,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(slow).await;
    let txn = insert("job/a/1");
    let commit = client.commit_resolved(&txn, Urgency::Job, RESOLVE_TIMEOUT);
    let recover = async {
        sleep(Duration::from_millis(200)).await;
        cluster.set_platform_faults(PlatformFaults::default()).await;
    };
    let (resolved, ()) = futures_util::join!(commit, recover);
    sleep(Duration::from_millis(400)).await;
    let row = client.read("job/a/1").await.unwrap().unwrap();
    assert_eq!(
        resolved,
        Ok(Resolved::Written {
            versions: vec![row.version]
        })
    );
}

/// Guards against a write that is reported as resolved while the store is unavailable, or is never resolved.
#[actix_rt::test]
async fn write_during_an_outage_is_resolved_after_it() {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(options(cluster.platform().url()));
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(outage).await;
    let txn = insert("job/a/1");
    let unresolved = client
        .commit_resolved(&txn, Urgency::Job, Duration::from_millis(100))
        .await;
    assert_eq!(unresolved, Err(StoreError::Unknown));

    cluster.set_platform_faults(PlatformFaults::default()).await;
    let resolved = store::resolve(&client, &txn, Urgency::Job, RESOLVE_TIMEOUT)
        .await
        .unwrap();
    assert!(matches!(resolved, Resolved::Written { .. }));
}

/// Guards against a wrong outcome when another writer changed a row between the lost write and its read-back.
#[actix_rt::test]
async fn lost_write_followed_by_another_write() {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(options(cluster.platform().url()));
    let other = Txn::new().put("job/a/1", Expected::Any, json!("other"));
    client.commit(&other, Urgency::Job).await.unwrap();

    // The second row is still absent, which proves that the transaction did not take effect.
    let txn = insert("job/a/1").put("charge/a/1", Expected::Absent, json!(1));
    let conflict = store::resolve(&client, &txn, Urgency::Job, RESOLVE_TIMEOUT).await;
    assert!(matches!(conflict, Err(StoreError::Conflict { key, .. }) if key == "job/a/1"));

    // Without such a row the outcome is open, and the caller gets the rows.
    let superseded = store::resolve(&client, &insert("job/a/1"), Urgency::Job, RESOLVE_TIMEOUT)
        .await
        .unwrap();
    let row = client.read("job/a/1").await.unwrap();
    assert_eq!(superseded, Resolved::Superseded { rows: vec![row] });
}

/// Guards against a burst of queued writes that overloads the store when it recovers from an outage.
#[rstest]
#[case::unresponsive(PlatformFaults { outage: true, ..PlatformFaults::default() })]
#[case::refusing(PlatformFaults { refuse: true, ..PlatformFaults::default() })]
#[actix_rt::test]
async fn write_rate_stays_within_the_limit_after_an_outage(#[case] faults: PlatformFaults) {
    const WRITERS: usize = 60;
    let cluster = Cluster::start().await.unwrap();
    let options = options(cluster.platform().url())
        .writes_per_s(100.0)
        .timeout(Duration::from_millis(60));
    let client = Rc::new(PlatformClient::new(options));
    cluster.set_platform_faults(faults).await;
    let writers = (0..WRITERS).map(|writer| {
        let (client, txn) = (Rc::clone(&client), insert(&format!("job/a/{writer}")));
        async move {
            while client
                .commit_resolved(&txn, Urgency::Job, RESOLVE_TIMEOUT)
                .await
                .is_err()
            {
                sleep(Duration::from_millis(20)).await;
            }
        }
    });
    let outage = async {
        sleep(Duration::from_millis(500)).await;
        cluster.set_platform_faults(PlatformFaults::default()).await;
    };
    futures_util::join!(join_all(writers), outage);

    let stats = cluster.platform_stats().await;
    let rows = client.scan("job/", "", 1000).await.unwrap();
    assert_eq!(rows.len(), WRITERS);
    // 100 ms at the rate limit, a burst of another 100 ms, and two writes for rounding of times.
    assert!(
        stats.peak_writes(100) <= 22,
        "{} writes in 100 ms",
        stats.peak_writes(100)
    );
    assert!(client.stats().breaker_opened >= 1);
}

/// Guards against a scheduling lease that expires because its renewal waits behind ledger writes.
#[actix_rt::test]
async fn lease_writes_are_served_before_ledger_writes() {
    let cluster = Cluster::start().await.unwrap();
    let client = Rc::new(PlatformClient::new(
        options(cluster.platform().url()).writes_per_s(50.0),
    ));
    let ledger = (0..40).map(|entry| {
        let (client, txn) = (Rc::clone(&client), insert(&format!("charge/a/{entry}")));
        async move { client.commit(&txn, Urgency::Ledger).await.unwrap() }
    });
    let lease = async {
        sleep(Duration::from_millis(20)).await;
        let queued_at = Instant::now();
        client.commit(&insert("sched/dc1"), Urgency::Lease).await.unwrap();
        (queued_at.elapsed(), client.stats().writes_waiting)
    };
    let (_, (waited, still_waiting)) = futures_util::join!(join_all(ledger), lease);
    assert!(waited < Duration::from_millis(300), "waited {waited:?}");
    assert!(still_waiting >= 20, "{still_waiting} ledger writes were still waiting");
}

/// Guards against overloading a store that is unavailable, and against rejecting requests after it has recovered.
#[actix_rt::test]
async fn breaker_opens_and_probes() {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(options(cluster.platform().url()));
    let refuse = PlatformFaults {
        refuse: true,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(refuse).await;
    for _ in 0..5 {
        assert!(!client.stats().is_breaker_open);
        assert_eq!(client.read("job/a/1").await, Err(StoreError::Unavailable));
    }
    assert!(client.stats().is_breaker_open);
    let reads_before = client.stats().reads;
    let opened_at = Instant::now();
    while opened_at.elapsed() < Duration::from_millis(600) {
        assert_eq!(client.read("job/a/1").await, Err(StoreError::Unavailable));
        sleep(Duration::from_millis(2)).await;
    }
    let probes = client.stats().reads - reads_before;
    assert!((2..=12).contains(&probes), "{probes} probes in 600 ms at 50 to 200 ms");

    cluster.set_platform_faults(PlatformFaults::default()).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(client.read("job/a/1").await, Ok(None));
    assert!(!client.stats().is_breaker_open);
}

/// Guards against reuse of a hung connection: established connections can hang while new ones work.
#[rstest]
#[case::by_a_request(false)]
#[case::by_the_idle_check(true)]
#[actix_rt::test]
async fn unresponsive_connection_is_replaced(#[case] by_idle_check: bool) {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(options(cluster.platform_link_url()));
    client.commit(&insert("job/a/1"), Urgency::Job).await.unwrap();
    cluster.set_link("platform", LinkMode::SilenceExisting).await;
    let silenced_at = Instant::now();
    if by_idle_check {
        sleep(Duration::from_millis(60)).await;
        client.check_idle().await;
    } else {
        assert_eq!(
            client.commit(&insert("job/a/2"), Urgency::Job).await,
            Err(StoreError::Unknown)
        );
    }
    client.commit(&insert("job/a/3"), Urgency::Job).await.unwrap();
    assert!(
        silenced_at.elapsed() < Duration::from_millis(900),
        "took {:?}",
        silenced_at.elapsed()
    );
    assert_eq!(client.stats().connections_replaced, 1);
}

/// Guards against reporting a write that was never sent as unknown.
#[actix_rt::test]
async fn refused_connection_is_reported_as_unavailable() {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(options(cluster.platform_link_url()));
    cluster.set_link("platform", LinkMode::Cut).await;
    assert_eq!(
        client.commit(&insert("job/a/1"), Urgency::Job).await,
        Err(StoreError::Unavailable)
    );
    cluster.set_link("platform", LinkMode::Open).await;
    assert!(client.commit(&insert("job/a/1"), Urgency::Job).await.is_ok());
}

/// Guards against conditions that let two writers win, versions that repeat after a deletion, and scans that skip rows.
#[actix_rt::test]
async fn table_and_objects_keep_their_contract() {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(options(cluster.platform().url()));
    for key in ["job/a/1", "job/a/2", "job/b/1", "sched/dc1"] {
        client.commit(&insert(key), Urgency::Job).await.unwrap();
    }
    let first = client.read("job/a/1").await.unwrap().unwrap();
    let again = client
        .commit(
            &insert("job/a/1").put("job/c/1", Expected::Absent, json!(1)),
            Urgency::Job,
        )
        .await;
    let (key, current) = (first.key.clone(), Some(first.clone()));
    assert_eq!(again, Err(StoreError::Conflict { key, current }));
    assert_eq!(client.read("job/c/1").await, Ok(None), "all puts or none");

    let page = client.scan("job/", "job/a/1", 2).await.unwrap();
    assert_eq!(
        page.iter().map(|row| row.key.as_str()).collect::<Vec<_>>(),
        ["job/a/2", "job/b/1"]
    );

    let delete = Txn::new().delete("job/a/1", Expected::Version(first.version));
    client.commit(&delete, Urgency::Job).await.unwrap();
    let versions = client.commit(&insert("job/a/1"), Urgency::Job).await.unwrap();
    assert!(versions[0] > first.version);

    client.put("answer/a/1", Bytes::from_static(b"body")).await.unwrap();
    assert_eq!(client.get("answer/a/1").await, Ok(Some(Bytes::from_static(b"body"))));
    assert_eq!(client.get("answer/a/2").await, Ok(None));
}

/// Guards against assuming that the instance list is current: it lags, and it can stop being updated.
#[actix_rt::test]
async fn list_lags_and_freezes() {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(options(cluster.platform().url()));
    let count_draining = async || {
        let listing = client.list().await.unwrap();
        listing
            .workers
            .iter()
            .filter(|worker| worker.state == ListedState::Leaving)
            .count()
    };
    sleep(Duration::from_millis(200)).await;
    assert_eq!(client.list().await.unwrap().workers.len(), 6);
    let frozen = PlatformFaults {
        freeze_list: true,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(frozen).await;
    let faults = standin::WorkerFaults {
        leaving: true,
        ..standin::WorkerFaults::default()
    };
    cluster.set_worker_faults(&Cluster::worker_id(1, 1, 1), faults).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(count_draining().await, 0);
    cluster.set_platform_faults(PlatformFaults::default()).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(count_draining().await, 1);
}

/// Guards against a stand-in without the platform's rate limits, and against reporting a refusal as a lost write.
#[actix_rt::test]
async fn requests_over_the_platforms_limit_are_refused() {
    let platform = PlatformOptions::new().writes_per_s(40);
    let cluster = Cluster::start_with(&platform, WorkersOptions::new().workers(1))
        .await
        .unwrap();
    let client = PlatformClient::new(options(cluster.platform().url()).writes_per_s(4000.0));
    let txns: Vec<Txn> = (0..30).map(|row| insert(&format!("job/a/{row}"))).collect();
    let results = join_all(txns.iter().map(|txn| client.commit(txn, Urgency::Job))).await;
    let refused = results
        .iter()
        .filter(|result| **result == Err(StoreError::Unavailable))
        .count();
    assert!(refused >= 5, "{refused} of 30 writes at once");
    // The refusals opened the breaker; its longest probe delay is 200 ms.
    sleep(Duration::from_millis(250)).await;
    assert_eq!(client.scan("job/", "", 100).await.unwrap().len(), 30 - refused);
}
