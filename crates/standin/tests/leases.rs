//! Tests of leases, fencing and renewals at the stand-in worker.

mod fixture;

use std::time::Duration;

use actix_rt::time::sleep;
use fixture::{WorkerFixture, id, refused, task};
use model::{Epoch, LeaseKind, TaskState, WorkerError};
use net::WorkerCallError;
use rstest::rstest;
use standin::{LogEvent, WorkerFaults};

/// Guards against a former scheduler that still starts work, and against a change of scheduler that interrupts running
/// or urgent work.
#[actix_rt::test]
async fn fence_rejects_the_former_scheduler() {
    let fixture = WorkerFixture::new().await;
    let (unused, used, grant) = (id(1, 1), id(1, 2), id(1, 3));
    fixture.lease(unused, LeaseKind::Attempt, 5000).await.unwrap();
    fixture.lease(used, LeaseKind::Attempt, 5000).await.unwrap();
    fixture.lease(grant, LeaseKind::Grant, 5000).await.unwrap();
    fixture.start(&task(used, "running", 5000)).await.unwrap();

    assert_eq!(fixture.fence(2).await.unwrap(), [used, grant]);
    let fenced = WorkerError::Fenced { highest: Epoch(2) };
    assert_eq!(fixture.fence(1).await, refused(fenced));
    assert_eq!(fixture.lease(id(1, 4), LeaseKind::Attempt, 5000).await, refused(fenced));
    assert_eq!(fixture.start(&task(used, "late", 0)).await, refused(fenced));
    assert_eq!(fixture.renew(1, vec![used], 0).await, refused(fenced));
    let running = task(used, "running", 0).task;
    let stopped = fixture
        .client
        .stop(&fixture.url, &fixture.worker, Epoch(1), &running)
        .await;
    assert_eq!(stopped, refused(fenced));

    // The successor adopts the running task but starts nothing under the former lease.
    let mut by_successor = task(used, "more", 0);
    by_successor.epoch = Epoch(2);
    assert_eq!(fixture.start(&by_successor).await, refused(fenced));
    by_successor.lease = unused;
    assert_eq!(fixture.start(&by_successor).await, refused(WorkerError::LeaseNotLive));
    let (changes, lapsed, _) = fixture.renew(2, vec![used, unused], 0).await.unwrap();
    assert_eq!((changes[0].state, lapsed), (TaskState::Running, vec![unused]));

    // The holder of the grant continues under its old epoch.
    assert_eq!(
        fixture.run(&task(grant, "urgent", 10)).await.unwrap().state,
        TaskState::Finished
    );
    let (changes, lapsed, _) = fixture.renew(1, vec![grant], 0).await.unwrap();
    assert_eq!((changes.len(), lapsed.len()), (1, 0), "only its own task");
}

/// Guards against a start under an expired lease that its partitioned holder believes to be live.
#[rstest]
#[case::attempt(LeaseKind::Attempt)]
#[case::grant(LeaseKind::Grant)]
#[actix_rt::test]
async fn expired_lease_is_rejected_and_stops_its_task(#[case] kind: LeaseKind) {
    let fixture = WorkerFixture::new().await;
    let lease = id(1, 1);
    fixture.lease(lease, kind, 80).await.unwrap();
    fixture.start(&task(lease, "long", 5000)).await.unwrap();
    sleep(Duration::from_millis(150)).await;

    assert_eq!(
        fixture.start(&task(lease, "late", 0)).await,
        refused(WorkerError::LeaseNotLive)
    );
    assert_eq!(
        fixture.lease(lease, kind, 5000).await,
        refused(WorkerError::LeaseNotLive)
    );
    let (changes, lapsed, _) = fixture.renew(1, vec![lease], 0).await.unwrap();
    assert_eq!((changes[0].state, lapsed), (TaskState::Stopped, vec![lease]));
    let ends = fixture.log(LogEvent::End).await;
    assert_eq!((ends.len(), ends[0].state), (1, TaskState::Stopped));
}

/// Guards against a lease request that arrives after its revocation and holds capacity without a holder.
#[actix_rt::test]
async fn revoked_lease_stays_revoked() {
    let fixture = WorkerFixture::new().await;
    let revoke = async |lease| {
        fixture
            .client
            .revoke(&fixture.url, &fixture.worker, Epoch(1), lease)
            .await
    };
    assert_eq!(revoke(id(1, 1)).await, Ok(vec![]));
    assert_eq!(
        fixture.lease(id(1, 1), LeaseKind::Attempt, 5000).await,
        refused(WorkerError::LeaseNotLive)
    );

    fixture.lease(id(1, 2), LeaseKind::Attempt, 5000).await.unwrap();
    fixture.start(&task(id(1, 2), "long", 5000)).await.unwrap();
    let reports = revoke(id(1, 2)).await.unwrap();
    assert_eq!(reports[0].state, TaskState::Stopped);
    assert_eq!(
        revoke(id(1, 2)).await.unwrap(),
        reports,
        "a repeated revocation returns the same reports"
    );
    assert_eq!(
        fixture.start(&task(id(1, 2), "late", 0)).await,
        refused(WorkerError::LeaseNotLive)
    );
}

/// Guards against a worker that leases more resources than it has.
#[actix_rt::test]
async fn resources_are_exclusive() {
    let fixture = WorkerFixture::new().await;
    for sequence in 1..=4 {
        fixture.lease(id(1, sequence), LeaseKind::Attempt, 5000).await.unwrap();
    }
    assert_eq!(
        fixture.lease(id(1, 5), LeaseKind::Attempt, 5000).await,
        refused(WorkerError::NoCapacity)
    );
    fixture
        .lease(id(1, 1), LeaseKind::Attempt, 5000)
        .await
        .expect("a repeated request returns the same lease");
    for request in ["a", "b"] {
        fixture.start(&task(id(1, 1), request, 5000)).await.unwrap();
    }
    assert_eq!(
        fixture.start(&task(id(1, 1), "c", 0)).await,
        refused(WorkerError::NoCapacity)
    );
}

/// Guards against renewals that repeat finished answers or miss a change.
#[actix_rt::test]
async fn renewals_carry_each_change_once() {
    let fixture = WorkerFixture::new().await;
    fixture.lease(id(1, 1), LeaseKind::Attempt, 200).await.unwrap();
    fixture.start(&task(id(1, 1), "a", 50)).await.unwrap();
    let (changes, _, last_sequence) = fixture.renew(1, vec![id(1, 1)], 0).await.unwrap();
    assert_eq!(changes[0].state, TaskState::Running);
    sleep(Duration::from_millis(250)).await;
    let (changes, lapsed, last_sequence) = fixture.renew(1, vec![id(1, 1)], last_sequence).await.unwrap();
    assert_eq!((changes[0].state, changes.len()), (TaskState::Finished, 1));
    assert_eq!(lapsed, [], "the renewal extended the lease");
    let (changes, ..) = fixture.renew(1, vec![id(1, 1)], last_sequence).await.unwrap();
    assert_eq!(changes, []);
}

/// Guards against new leases on a draining worker, and against interrupting its running tasks.
#[actix_rt::test]
async fn draining_worker_rejects_leases_and_finishes_its_tasks() {
    let fixture = WorkerFixture::new().await;
    fixture.lease(id(1, 1), LeaseKind::Attempt, 5000).await.unwrap();
    fixture.start(&task(id(1, 1), "a", 50)).await.unwrap();
    let leaving = WorkerFaults {
        leaving: true,
        ..WorkerFaults::default()
    };
    fixture.cluster.set_worker_faults(&fixture.worker, leaving).await;
    assert_eq!(
        fixture.lease(id(1, 2), LeaseKind::Attempt, 5000).await,
        refused(WorkerError::Leaving)
    );
    assert!(
        fixture
            .client
            .ping(&fixture.url, &fixture.worker)
            .await
            .unwrap()
            .leaving
    );
    assert_eq!(
        fixture.run(&task(id(1, 1), "a", 50)).await.unwrap().state,
        TaskState::Finished
    );
}

/// Guards against a killed worker that keeps its state, and one that replies while it is down.
#[actix_rt::test]
async fn killed_worker_is_unavailable_and_loses_its_state() {
    let fixture = WorkerFixture::new().await;
    fixture.fence(7).await.unwrap();
    fixture.lease(id(7, 1), LeaseKind::Attempt, 5000).await.unwrap();
    fixture.start(&task(id(7, 1), "a", 5000)).await.unwrap();
    fixture.cluster.kill_worker(&fixture.worker, 100).await;
    assert_eq!(fixture.fence(1).await, Err(WorkerCallError::Rejected { status: 503 }));
    sleep(Duration::from_millis(120)).await;
    assert_eq!(fixture.fence(1).await, Ok(vec![]));
    assert_eq!(fixture.log(LogEvent::End).await[0].state, TaskState::Stopped);
}
