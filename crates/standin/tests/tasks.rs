//! Tests of tasks, usage and the faults of workers as the stand-in serves them.

mod bench;

use std::time::Duration;

use actix_rt::time::sleep;
use bench::{Bench, id, task};
use model::{Epoch, LeaseKind, TaskState};
use net::WorkerCallError;
use rstest::rstest;
use standin::testing::Cluster;
use standin::{LogEvent, TaskAnswer, WorkerFaults};

/// Guards against a repeated start, after a lost reply, that runs the work twice.
#[actix_rt::test]
async fn start_twice_runs_once() {
    let bench = Bench::new().await;
    let lease = id(1, 1);
    bench.lease(lease, LeaseKind::Attempt, 5000).await.unwrap();
    let request = task(lease, "quote", 50);
    assert_eq!(bench.start(&request).await.unwrap().state, TaskState::Running);
    assert_eq!(bench.start(&request).await.unwrap().state, TaskState::Running);
    let report = bench.run(&request).await.unwrap();
    assert_eq!(
        bench.start(&request).await.unwrap(),
        report,
        "the finished result is kept"
    );
    let body: TaskAnswer = serde_json::from_str(&report.answer.unwrap().body).unwrap();
    assert_eq!(body.starts, 1);
    assert_eq!(bench.log(LogEvent::Start).await.len(), 1);
}

/// Guards against a doubled run that the proofs cannot see, on two workers or after a worker's death.
#[actix_rt::test]
async fn doubled_run_is_counted() {
    let mut bench = Bench::new().await;
    let lease = id(1, 1);
    for (run, worker) in [(1, 1), (2, 2), (3, 2)] {
        bench.worker = Cluster::worker_id(1, 1, worker);
        bench.cluster.kill_worker(&bench.worker, 0).await;
        bench.lease(lease, LeaseKind::Attempt, 5000).await.unwrap();
        let answer = bench.run(&task(lease, "quote", 0)).await.unwrap().answer.unwrap();
        let body: TaskAnswer = serde_json::from_str(&answer.body).unwrap();
        assert_eq!((body.starts, body.worker), (run, bench.worker.clone()));
    }
}

/// Guards against work that starts from the beginning after a checkpoint, or is charged for the time it did not run.
#[actix_rt::test]
async fn checkpoint_is_resumed_on_another_worker() {
    let mut bench = Bench::new().await;
    bench.lease(id(1, 1), LeaseKind::Attempt, 5000).await.unwrap();
    let mut request = task(id(1, 1), "appraisal", 400);
    bench.start(&request).await.unwrap();
    sleep(Duration::from_millis(250)).await;
    let (url, first) = (bench.url.clone(), bench.worker.clone());
    let stopped = bench
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

    bench.worker = Cluster::worker_id(1, 1, 2);
    bench.lease(id(1, 2), LeaseKind::Attempt, 5000).await.unwrap();
    (request.lease, request.task.attempt, request.resume_from) = (id(1, 2), 2, stopped.checkpoint);
    let finished = bench.run(&request).await.unwrap();
    assert_eq!(finished.state, TaskState::Finished);
    assert!(finished.accelerator_ms <= 150, "{} ms", finished.accelerator_ms);

    request.task.attempt = 3;
    request.checkpointable = false;
    request.resume_from = None;
    bench.start(&request).await.unwrap();
    let task = &request.task;
    let result = bench.client.checkpoint(&url, &bench.worker, Epoch(1), task).await;
    assert_eq!(
        result,
        Err(WorkerCallError::Rejected { status: 422 }),
        "the task goes on"
    );
}

/// Guards against a throttled task that ends as early as before.
#[actix_rt::test]
async fn throttled_task_takes_longer() {
    let bench = Bench::new().await;
    bench.lease(id(1, 1), LeaseKind::Attempt, 5000).await.unwrap();
    let request = task(id(1, 1), "stock", 150);
    bench.start(&request).await.unwrap();
    let throttled = bench
        .client
        .throttle(&bench.url, &bench.worker, Epoch(1), &request.task, 25)
        .await
        .unwrap();
    assert_eq!(throttled.state, TaskState::Running);
    let finished = bench.run(&request).await.unwrap();
    assert!(finished.accelerator_ms >= 450, "{} ms", finished.accelerator_ms);
}

/// Guards against charges that get lost before they are acknowledged, or are charged twice.
#[actix_rt::test]
async fn usage_lags_and_is_kept_until_acknowledged() {
    let bench = Bench::new().await;
    bench.lease(id(1, 1), LeaseKind::Grant, 5000).await.unwrap();
    for request in ["a", "b"] {
        bench.run(&task(id(1, 1), request, 20)).await.unwrap();
    }
    let read = async |after| {
        bench
            .client
            .usage(&bench.url, &bench.worker, after)
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

    // Sequence numbers rise over a death, so that an acknowledgement of before hides nothing.
    bench.cluster.kill_worker(&bench.worker, 0).await;
    bench.lease(id(1, 1), LeaseKind::Grant, 5000).await.unwrap();
    bench.run(&task(id(1, 1), "c", 0)).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(read(entries[1].sequence).await.len(), 1);
}

/// Guards against faults that have no effect, so that a proof passes for nothing.
#[rstest]
#[case::fails_everything(WorkerFaults { fail_tasks: true, ..WorkerFaults::default() }, TaskState::Failed, 0)]
#[case::runs_slowly(WorkerFaults { run_percent: 500, ..WorkerFaults::default() }, TaskState::Finished, 100)]
#[actix_rt::test]
async fn worker_faults_show_in_its_tasks(
    #[case] faults: WorkerFaults,
    #[case] state: TaskState,
    #[case] least_accelerator_ms: u64,
) {
    let bench = Bench::new().await;
    bench.cluster.set_worker_faults(&bench.worker, faults).await;
    bench.lease(id(1, 1), LeaseKind::Attempt, 5000).await.unwrap();
    let report = bench.run(&task(id(1, 1), "a", 20)).await.unwrap();
    assert_eq!(report.state, state);
    assert!(report.accelerator_ms >= least_accelerator_ms);
}
