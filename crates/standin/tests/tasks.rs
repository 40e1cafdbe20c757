//! Tests of tasks, usage reports and worker faults at the stand-in worker.

mod fixture;

use std::time::Duration;

use actix_rt::time::sleep;
use fixture::{WorkerFixture, id, task};
use model::{Epoch, LeaseKind, TaskState};
use net::WorkerCallError;
use rstest::rstest;
use standin::testing::Cluster;
use standin::{LogEvent, TaskAnswer, WorkerFaults};

/// Guards against a repeated start, after a lost reply, that runs the work twice.
#[actix_rt::test]
async fn repeated_start_runs_task_once() {
    let fixture = WorkerFixture::new().await;
    let lease = id(1, 1);
    fixture.lease(lease, LeaseKind::Attempt, 5000).await.unwrap();
    let request = task(lease, "quote", 50);
    assert_eq!(fixture.start(&request).await.unwrap().state, TaskState::Running);
    assert_eq!(fixture.start(&request).await.unwrap().state, TaskState::Running);
    let report = fixture.run(&request).await.unwrap();
    assert_eq!(
        fixture.start(&request).await.unwrap(),
        report,
        "the finished result is kept"
    );
    let body: TaskAnswer = serde_json::from_str(&report.answer.unwrap().body).unwrap();
    assert_eq!(body.starts, 1);
    assert_eq!(fixture.log(LogEvent::Start).await.len(), 1);
}

/// Guards against a duplicate run that the start count misses, on two workers or after a worker was killed.
#[actix_rt::test]
async fn duplicate_run_is_counted() {
    let mut fixture = WorkerFixture::new().await;
    let lease = id(1, 1);
    for (run, worker) in [(1, 1), (2, 2), (3, 2)] {
        fixture.worker = Cluster::worker_id(1, 1, worker);
        fixture.cluster.kill_worker(&fixture.worker, 0).await;
        fixture.lease(lease, LeaseKind::Attempt, 5000).await.unwrap();
        let answer = fixture.run(&task(lease, "quote", 0)).await.unwrap().answer.unwrap();
        let body: TaskAnswer = serde_json::from_str(&answer.body).unwrap();
        assert_eq!((body.starts, body.worker), (run, fixture.worker.clone()));
    }
}

/// Guards against work that starts from the beginning after a checkpoint, or is charged for time when it did not run.
#[actix_rt::test]
async fn checkpoint_is_resumed_on_another_worker() {
    let mut fixture = WorkerFixture::new().await;
    fixture.lease(id(1, 1), LeaseKind::Attempt, 5000).await.unwrap();
    let mut request = task(id(1, 1), "appraisal", 400);
    fixture.start(&request).await.unwrap();
    sleep(Duration::from_millis(250)).await;
    let (url, first) = (fixture.url.clone(), fixture.worker.clone());
    let stopped = fixture
        .client
        .checkpoint(&url, &first, Epoch(1), &request.task)
        .await
        .unwrap();
    assert_eq!(stopped.state, TaskState::Checkpointed);
    assert!(
        (250..400).contains(&stopped.accelerator_ms),
        "{} ms",
        stopped.accelerator_ms
    );

    fixture.worker = Cluster::worker_id(1, 1, 2);
    fixture.lease(id(1, 2), LeaseKind::Attempt, 5000).await.unwrap();
    (request.lease, request.task.attempt, request.resume_from) = (id(1, 2), 2, stopped.checkpoint);
    let finished = fixture.run(&request).await.unwrap();
    assert_eq!(finished.state, TaskState::Finished);
    assert!(finished.accelerator_ms <= 150, "{} ms", finished.accelerator_ms);

    request.task.attempt = 3;
    request.checkpointable = false;
    request.resume_from = None;
    fixture.start(&request).await.unwrap();
    let task = &request.task;
    let result = fixture.client.checkpoint(&url, &fixture.worker, Epoch(1), task).await;
    assert_eq!(
        result,
        Err(WorkerCallError::Rejected { status: 422 }),
        "the task continues"
    );
}

/// Guards against a throttle without effect on the run time of a task.
#[actix_rt::test]
async fn throttled_task_takes_longer() {
    let fixture = WorkerFixture::new().await;
    fixture.lease(id(1, 1), LeaseKind::Attempt, 5000).await.unwrap();
    let request = task(id(1, 1), "stock", 150);
    fixture.start(&request).await.unwrap();
    let throttled = fixture
        .client
        .throttle(&fixture.url, &fixture.worker, Epoch(1), &request.task, 25)
        .await
        .unwrap();
    assert_eq!(throttled.state, TaskState::Running);
    let finished = fixture.run(&request).await.unwrap();
    assert!(finished.accelerator_ms >= 450, "{} ms", finished.accelerator_ms);
}

/// Guards against usage that is lost before it is acknowledged, or is reported again afterwards.
#[actix_rt::test]
async fn usage_is_delayed_and_kept_until_acknowledged() {
    let fixture = WorkerFixture::new().await;
    fixture.lease(id(1, 1), LeaseKind::Grant, 5000).await.unwrap();
    for request in ["a", "b"] {
        fixture.run(&task(id(1, 1), request, 20)).await.unwrap();
    }
    let read = async |after| {
        fixture
            .client
            .usage(&fixture.url, &fixture.worker, after)
            .await
            .unwrap()
            .entries
    };
    assert_eq!(read(0).await.len(), 0, "the report lags");
    sleep(Duration::from_millis(100)).await;
    let entries = read(0).await;
    assert_eq!(
        entries
            .iter()
            .map(|entry| entry.task.job.request.as_str())
            .collect::<Vec<_>>(),
        ["a", "b"]
    );
    assert!(
        entries
            .iter()
            .all(|entry| entry.accelerator_ms >= 20 && entry.state == TaskState::Finished)
    );
    assert_eq!(read(0).await, entries, "not acknowledged yet");
    assert_eq!(read(entries[0].sequence).await, entries[1..]);
    assert_eq!(read(0).await, entries[1..], "the first is acknowledged");

    // Sequence numbers rise over a restart, so that an earlier acknowledgement does not drop new usage.
    fixture.cluster.kill_worker(&fixture.worker, 0).await;
    fixture.lease(id(1, 1), LeaseKind::Grant, 5000).await.unwrap();
    fixture.run(&task(id(1, 1), "c", 0)).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(read(entries[1].sequence).await.len(), 1);
}

/// Guards against faults without effect, with which a fault test would pass without testing anything.
#[rstest]
#[case::fail_tasks(WorkerFaults { fail_tasks: true, ..WorkerFaults::default() }, TaskState::Failed, 0)]
#[case::run_percent(WorkerFaults { run_percent: 500, ..WorkerFaults::default() }, TaskState::Finished, 100)]
#[actix_rt::test]
async fn worker_faults_affect_its_tasks(
    #[case] faults: WorkerFaults,
    #[case] state: TaskState,
    #[case] min_accelerator_ms: u64,
) {
    let fixture = WorkerFixture::new().await;
    fixture.cluster.set_worker_faults(&fixture.worker, faults).await;
    fixture.lease(id(1, 1), LeaseKind::Attempt, 5000).await.unwrap();
    let report = fixture.run(&task(id(1, 1), "a", 20)).await.unwrap();
    assert_eq!(report.state, state);
    assert!(report.accelerator_ms >= min_accelerator_ms);
}
