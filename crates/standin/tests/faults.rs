//! Tests of link modes, platform faults and retention.

mod fixture;

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use fixture::{WorkerFixture, id, refused, task};
use futures_util::future::join_all;
use model::{Epoch, LeaseKind, WorkerError};
use net::WorkerCallError;
use rstest::rstest;
use serde_json::json;
use standin::testing::Cluster;
use standin::{LinkMode, PlatformFaults, PlatformOptions, WorkersOptions};
use store::{
    Directory, Expected, ListedInstance, ListedState, Listing, PlatformClient, PlatformClientOptions, StoreError,
    Table, Txn, Urgency,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards against a link mode without effect, and against a silenced connection that delivers a stream with a gap once
/// the link is restored.
#[rstest]
#[case::cut(LinkMode::Cut, false, false)]
#[case::existing_silent(LinkMode::SilenceExisting, true, true)]
#[case::all_silent(LinkMode::SilenceAll, true, false)]
#[actix_rt::test]
async fn link_mode_applies_to_open_and_new_connections(
    #[case] mode: LinkMode,
    #[case] stays_open: bool,
    #[case] new_connections_work: bool,
) {
    const REQUEST: &[u8] = b"GET /v1/stats HTTP/1.1\r\nhost: a\r\n\r\n";
    /// Sends a request; returns whether the link replies (`Ok(true)`), closes (`Ok(false)`) or stays silent (`Err`).
    async fn exchange(stream: &mut TcpStream) -> Result<bool, ()> {
        let mut buffer = [0; 4096];
        stream.write_all(REQUEST).await.map_err(drop)?;
        let reply = timeout(Duration::from_millis(150), stream.read(&mut buffer))
            .await
            .map_err(drop)?;
        Ok(reply.is_ok_and(|length| length > 0))
    }
    let cluster = Cluster::start().await.unwrap();
    let address = cluster.platform_link_url().replace("http://", "");
    let mut open = TcpStream::connect(&address).await.unwrap();
    assert_eq!(exchange(&mut open).await, Ok(true));

    cluster.set_link("platform", mode).await;
    assert_eq!(exchange(&mut open).await, if stays_open { Err(()) } else { Ok(false) });
    let works = match TcpStream::connect(&address).await {
        Ok(mut new) => exchange(&mut new).await == Ok(true),
        Err(_) => false,
    };
    assert_eq!(works, new_connections_work);

    cluster.set_link("platform", LinkMode::Open).await;
    assert_ne!(
        exchange(&mut open).await,
        Ok(true),
        "the old connection stays closed or silent"
    );
    let mut new = TcpStream::connect(&address).await.unwrap();
    assert_eq!(exchange(&mut new).await, Ok(true));
}

/// Guards against `lose_every` that drops only one reply, and against an instance that stays in the list after it has
/// stopped registering.
#[actix_rt::test]
async fn platform_drops_every_nth_reply_and_removes_unregistered_instances() {
    let platform = PlatformOptions::new().list_lag_ms(10).list_ttl_ms(150);
    let cluster = Cluster::start_with(&platform, WorkersOptions::new().workers(2).register_interval_ms(50))
        .await
        .unwrap();
    let client = PlatformClient::new(PlatformClientOptions::new(cluster.platform().url()));
    let entry = ListedInstance {
        id: "entry1".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        state: ListedState::Live,
    };
    let entries = vec![entry];
    client
        .register(&Listing {
            workers: vec![],
            entries,
        })
        .await
        .unwrap();
    sleep(Duration::from_millis(60)).await;
    client.list().await.unwrap();
    assert_eq!(client.list().await.unwrap().entries.len(), 1);
    sleep(Duration::from_millis(200)).await;
    let listing = client.list().await.unwrap();
    assert_eq!((listing.entries.len(), listing.workers.len()), (0, 2));

    let faults = PlatformFaults {
        lose_every: 2,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(faults).await;
    let mut lost = 0;
    for row in 0..6 {
        let txn = Txn::new().put(format!("job/a/{row}"), Expected::Absent, json!(row));
        lost += u32::from(client.commit(&txn, Urgency::Job).await == Err(StoreError::Unknown));
    }
    assert_eq!(lost, 3);
}

/// Guards against counting writes on arrival: of concurrent writes, all or none would then lose their replies.
#[actix_rt::test]
async fn every_second_of_concurrent_writes_loses_its_reply() {
    let cluster = Cluster::start().await.unwrap();
    let client = PlatformClient::new(PlatformClientOptions::new(cluster.platform().url()));
    let faults = PlatformFaults {
        lose_every: 2,
        slow_ms: 100,
        ..PlatformFaults::default()
    };
    cluster.set_platform_faults(faults).await;
    let txns: Vec<_> = (0..4)
        .map(|row| Txn::new().put(format!("job/a/{row}"), Expected::Absent, json!(row)))
        .collect();
    let results = join_all(txns.iter().map(|txn| client.commit(txn, Urgency::Job))).await;
    let lost = results
        .iter()
        .filter(|result| **result == Err(StoreError::Unknown))
        .count();
    assert_eq!(lost, 2, "{results:?}");
}

/// Guards against a worker whose memory grows without bound, and against one that serves a result after eviction.
#[actix_rt::test]
async fn finished_results_are_evicted_after_retention_time() {
    let mut fixture = WorkerFixture::new().await;
    let workers = WorkersOptions::new().workers(6).keep_ms(100);
    fixture.cluster = Cluster::start_with(&PlatformOptions::new(), workers).await.unwrap();
    fixture.url = fixture.cluster.workers().url();
    fixture.lease(id(1, 1), LeaseKind::Grant, 50).await.unwrap();
    let request = task(id(1, 1), "a", 0);
    let report = fixture.run(&request).await.unwrap();
    sleep(Duration::from_millis(20)).await;
    assert_eq!(fixture.start(&request).await, Ok(report));
    sleep(Duration::from_millis(250)).await;
    assert_eq!(fixture.start(&request).await, refused(WorkerError::LeaseNotLive));
    let stopped = fixture
        .client
        .stop(&fixture.url, &fixture.worker, Epoch(1), &request.task)
        .await;
    assert_eq!(stopped, Err(WorkerCallError::Refused(WorkerError::UnknownTask)));
}
