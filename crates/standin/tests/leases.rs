//! Tests of leases, fences and renewals as the stand-in serves them.

mod bench;

use std::time::Duration;

use actix_rt::time::sleep;
use bench::{Bench, id, refused, task};
use model::{Epoch, LeaseKind, TaskState, WorkerError};
use net::WorkerCallError;
use rstest::rstest;
use standin::{LogEvent, WorkerFaults};

/// Guards against a former scheduler that still starts work, and against a change of scheduler that disturbs running or
/// urgent work.
#[actix_rt::test]
async fn fence_ends_the_former_schedulers_authority() {
    let bench = Bench::new().await;
    let (unused, used, grant) = (id(1, 1), id(1, 2), id(1, 3));
    bench.lease(unused, LeaseKind::Attempt, 5000).await.unwrap();
    bench.lease(used, LeaseKind::Attempt, 5000).await.unwrap();
    bench.lease(grant, LeaseKind::Grant, 5000).await.unwrap();
    bench.start(&task(used, "running", 5000)).await.unwrap();

    assert_eq!(bench.fence(2).await.unwrap(), [used, grant]);
    let fenced = WorkerError::Fenced { highest: Epoch(2) };
    assert_eq!(bench.fence(1).await, refused(fenced));
    assert_eq!(bench.lease(id(1, 4), LeaseKind::Attempt, 5000).await, refused(fenced));
    assert_eq!(bench.start(&task(used, "late", 0)).await, refused(fenced));
    assert_eq!(bench.renew(1, vec![used], 0).await, refused(fenced));
    let running = task(used, "running", 0).task;
    let stopped = bench.client.stop(&bench.url, &bench.worker, Epoch(1), &running).await;
    assert_eq!(stopped, refused(fenced));

    // The successor adopts the running task but starts nothing under the former lease.
    let mut by_successor = task(used, "more", 0);
    by_successor.epoch = Epoch(2);
    assert_eq!(bench.start(&by_successor).await, refused(fenced));
    by_successor.lease = unused;
    assert_eq!(bench.start(&by_successor).await, refused(WorkerError::LeaseNotLive));
    let (changes, lapsed, _) = bench.renew(2, vec![used, unused], 0).await.unwrap();
    assert_eq!((changes[0].state, lapsed), (TaskState::Running, vec![unused]));

    // The holder of the grant goes on under its old epoch.
    assert_eq!(
        bench.run(&task(grant, "urgent", 10)).await.unwrap().state,
        TaskState::Finished
    );
    let (changes, lapsed, _) = bench.renew(1, vec![grant], 0).await.unwrap();
    assert_eq!((changes.len(), lapsed.len()), (1, 0), "only its own task");
}

/// Guards against a start under a lease that a partitioned holder believes to be live.
#[rstest]
#[case::attempt(LeaseKind::Attempt)]
#[case::grant(LeaseKind::Grant)]
#[actix_rt::test]
async fn lapsed_lease_is_refused_and_stops_its_task(#[case] kind: LeaseKind) {
    let bench = Bench::new().await;
    let lease = id(1, 1);
    bench.lease(lease, kind, 80).await.unwrap();
    bench.start(&task(lease, "long", 5000)).await.unwrap();
    sleep(Duration::from_millis(150)).await;

    assert_eq!(
        bench.start(&task(lease, "late", 0)).await,
        refused(WorkerError::LeaseNotLive)
    );
    assert_eq!(bench.lease(lease, kind, 5000).await, refused(WorkerError::LeaseNotLive));
    let (changes, lapsed, _) = bench.renew(1, vec![lease], 0).await.unwrap();
    assert_eq!((changes[0].state, lapsed), (TaskState::Stopped, vec![lease]));
    let ends = bench.log(LogEvent::End).await;
    assert_eq!((ends.len(), ends[0].state), (1, TaskState::Stopped));
}

/// Guards against a lease request that arrives after its revocation and holds capacity for nobody.
#[actix_rt::test]
async fn revoked_lease_stays_revoked() {
    let bench = Bench::new().await;
    let revoke = async |lease| bench.client.revoke(&bench.url, &bench.worker, Epoch(1), lease).await;
    assert_eq!(revoke(id(1, 1)).await, Ok(vec![]));
    assert_eq!(
        bench.lease(id(1, 1), LeaseKind::Attempt, 5000).await,
        refused(WorkerError::LeaseNotLive)
    );

    bench.lease(id(1, 2), LeaseKind::Attempt, 5000).await.unwrap();
    bench.start(&task(id(1, 2), "long", 5000)).await.unwrap();
    let reports = revoke(id(1, 2)).await.unwrap();
    assert_eq!(reports[0].state, TaskState::Stopped);
    assert_eq!(
        revoke(id(1, 2)).await.unwrap(),
        reports,
        "a repeated revocation says the same"
    );
    assert_eq!(
        bench.start(&task(id(1, 2), "late", 0)).await,
        refused(WorkerError::LeaseNotLive)
    );
}

/// Guards against a worker that hands out more than it has.
#[actix_rt::test]
async fn resources_are_exclusive() {
    let bench = Bench::new().await;
    for sequence in 1..=4 {
        bench.lease(id(1, sequence), LeaseKind::Attempt, 5000).await.unwrap();
    }
    assert_eq!(
        bench.lease(id(1, 5), LeaseKind::Attempt, 5000).await,
        refused(WorkerError::NoCapacity)
    );
    bench
        .lease(id(1, 1), LeaseKind::Attempt, 5000)
        .await
        .expect("a repeated request returns the same lease");
    for request in ["a", "b"] {
        bench.start(&task(id(1, 1), request, 5000)).await.unwrap();
    }
    assert_eq!(
        bench.start(&task(id(1, 1), "c", 0)).await,
        refused(WorkerError::NoCapacity)
    );
}

/// Guards against renewals that repeat all finished answers, or miss a change.
#[actix_rt::test]
async fn renewals_carry_each_change_once() {
    let bench = Bench::new().await;
    bench.lease(id(1, 1), LeaseKind::Attempt, 200).await.unwrap();
    bench.start(&task(id(1, 1), "a", 50)).await.unwrap();
    let (changes, _, seen) = bench.renew(1, vec![id(1, 1)], 0).await.unwrap();
    assert_eq!(changes[0].state, TaskState::Running);
    sleep(Duration::from_millis(250)).await;
    let (changes, lapsed, seen) = bench.renew(1, vec![id(1, 1)], seen).await.unwrap();
    assert_eq!((changes[0].state, changes.len()), (TaskState::Finished, 1));
    assert_eq!(lapsed, [], "the renewal extended the lease");
    let (changes, ..) = bench.renew(1, vec![id(1, 1)], seen).await.unwrap();
    assert_eq!(changes, []);
}

/// Guards against new work on a worker that is leaving, and against interrupting what runs there.
#[actix_rt::test]
async fn leaving_worker_refuses_leases_and_finishes_its_tasks() {
    let bench = Bench::new().await;
    bench.lease(id(1, 1), LeaseKind::Attempt, 5000).await.unwrap();
    bench.start(&task(id(1, 1), "a", 50)).await.unwrap();
    let leaving = WorkerFaults {
        leaving: true,
        ..WorkerFaults::default()
    };
    bench.cluster.set_worker_faults(&bench.worker, leaving).await;
    assert_eq!(
        bench.lease(id(1, 2), LeaseKind::Attempt, 5000).await,
        refused(WorkerError::Leaving)
    );
    assert!(bench.client.ping(&bench.url, &bench.worker).await.unwrap().leaving);
    assert_eq!(
        bench.run(&task(id(1, 1), "a", 50)).await.unwrap().state,
        TaskState::Finished
    );
}

/// Guards against a dead worker that remembers, and one that answers while it is away.
#[actix_rt::test]
async fn killed_worker_is_away_and_forgets() {
    let bench = Bench::new().await;
    bench.fence(7).await.unwrap();
    bench.lease(id(7, 1), LeaseKind::Attempt, 5000).await.unwrap();
    bench.start(&task(id(7, 1), "a", 5000)).await.unwrap();
    bench.cluster.kill_worker(&bench.worker, 100).await;
    assert_eq!(bench.fence(1).await, Err(WorkerCallError::Rejected { status: 503 }));
    sleep(Duration::from_millis(120)).await;
    assert_eq!(bench.fence(1).await, Ok(vec![]));
    assert_eq!(bench.log(LogEvent::End).await[0].state, TaskState::Stopped);
}
