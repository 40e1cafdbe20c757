//! Failure tests of the worker client against stand-in workers.

use std::time::{Duration, Instant};

use model::{
    Epoch, LeaseId, LeaseKind, LeaseRequest, Resources, StartRequest, TaskId, TaskState, WorkerError, WorkerId,
};
use net::{WorkerCallError, WorkerClient, WorkerClientOptions};
use rstest::rstest;
use serde_json::json;
use standin::testing::Cluster;
use standin::{LinkMode, LogEvent, TaskAnswer, WorkerFaults};

const CALL_TIMEOUT: Duration = Duration::from_millis(150);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// A call without a reply ends after both timeouts; the rest allows for a busy machine.
const MAX_UNRESPONSIVE: Duration = Duration::from_millis(700);
const RUN_TIMEOUT: Duration = Duration::from_secs(2);

fn client() -> WorkerClient {
    let options = WorkerClientOptions::new()
        .call_timeout(CALL_TIMEOUT)
        .connect_timeout(CONNECT_TIMEOUT)
        .run_check_interval(Duration::from_millis(200))
        .idle_check_interval(Duration::from_millis(100));
    WorkerClient::new(options)
}

fn worker() -> WorkerId {
    Cluster::worker_id(1, 1, 1)
}

fn lease_request(sequence: u64) -> LeaseRequest {
    LeaseRequest {
        lease: LeaseId::new(Epoch(1), sequence),
        epoch: Epoch(1),
        holder: "entry1".parse().unwrap(),
        kind: LeaseKind::Grant,
        resources: Resources::new(1, 1, 1000, 1024),
        ttl_ms: 5000,
    }
}

fn start_request(request: &str, run_ms: u64) -> StartRequest {
    StartRequest {
        lease: LeaseId::new(Epoch(1), 1),
        epoch: Epoch(1),
        task: TaskId::new(format!("clyde-koi/{request}").parse().unwrap(), 1, 0),
        resources: Resources::new(1, 1, 1000, 1024),
        payload: json!({"run_ms": run_ms, "answer_bytes": 300}),
        resume_from: None,
        checkpointable: false,
    }
}

async fn starts(cluster: &Cluster) -> usize {
    cluster
        .log()
        .await
        .iter()
        .filter(|entry| entry.event == LogEvent::Start)
        .count()
}

/// Guards against reuse of a hung connection: established connections can hang while new ones work.
#[actix_rt::test]
async fn unresponsive_connection_is_replaced_in_time() {
    let cluster = Cluster::start().await.unwrap();
    let (client, url) = (client(), cluster.workers_link_url());
    client.ping(&url, &worker()).await.unwrap();
    cluster.set_link("workers", LinkMode::SilenceExisting).await;

    let sent_at = Instant::now();
    let unanswered = client.ping(&url, &worker()).await;
    assert_eq!(unanswered, Err(WorkerCallError::Lost));
    assert!(sent_at.elapsed() < MAX_UNRESPONSIVE, "took {:?}", sent_at.elapsed());

    assert!(client.ping(&url, &worker()).await.is_ok(), "a new connection works");
    assert_eq!(client.stats().connections_replaced, 1);
}

/// Guards against a hung idle connection that is not detected until a command uses it.
#[actix_rt::test]
async fn idle_check_closes_an_unresponsive_connection_before_it_is_used() {
    let cluster = Cluster::start().await.unwrap();
    let (client, url) = (client(), cluster.workers_link_url());
    client.ping(&url, &worker()).await.unwrap();
    cluster.set_link("workers", LinkMode::SilenceExisting).await;
    actix_rt::time::sleep(Duration::from_millis(120)).await;
    client.check_idle().await;
    assert_eq!(client.stats().connections_replaced, 1);

    client.fence(&url, &worker(), Epoch(1)).await.unwrap();
    assert_eq!(client.stats().lost, 1, "only the ping was lost");
}

/// Guards against an urgent start that is lost or executed twice because its connection hangs.
#[rstest]
#[case::before_the_request(0)]
#[case::after_the_start(60)]
#[actix_rt::test]
async fn run_survives_an_unresponsive_connection_and_starts_once(#[case] silence_after_ms: u64) {
    let cluster = Cluster::start().await.unwrap();
    let (client, url) = (client(), cluster.workers_link_url());
    client.lease(&url, &worker(), &lease_request(1)).await.unwrap();

    let (worker, request) = (worker(), start_request("quote-1", 100));
    let silence = async {
        actix_rt::time::sleep(Duration::from_millis(silence_after_ms)).await;
        cluster.set_link("workers", LinkMode::SilenceExisting).await;
    };
    let run = async {
        if silence_after_ms == 0 {
            actix_rt::time::sleep(Duration::from_millis(60)).await;
        }
        client.run(&url, &worker, &request, RUN_TIMEOUT).await
    };
    let (report, ()) = futures_util::join!(run, silence);

    let answer = report.unwrap().answer.unwrap();
    answer.verify(&"quote-1".parse().unwrap()).unwrap();
    let body: TaskAnswer = serde_json::from_str(&answer.body).unwrap();
    assert_eq!((body.starts, answer.body.len()), (1, 300));
    assert_eq!(starts(&cluster).await, 1);
}

/// Guards against abandoning a task that takes longer than one run check interval.
#[actix_rt::test]
async fn run_waits_for_a_long_task_on_working_connections() {
    let cluster = Cluster::start().await.unwrap();
    let (client, url) = (client(), cluster.workers_link_url());
    client.lease(&url, &worker(), &lease_request(1)).await.unwrap();
    let report = client
        .run(&url, &worker(), &start_request("quote-1", 700), RUN_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(report.state, TaskState::Finished);
    assert_eq!(starts(&cluster).await, 1);
}

/// Guards against a lost command that is reported as not sent, and the reverse.
#[rstest]
#[case::connection_refused(Some(LinkMode::Cut), WorkerFaults::default(), WorkerCallError::NotSent)]
#[case::unresponsive_link(Some(LinkMode::SilenceAll), WorkerFaults::default(), WorkerCallError::Lost)]
#[case::frozen_worker(None, WorkerFaults { freeze: true, ..WorkerFaults::default() }, WorkerCallError::Lost)]
#[case::refusing_worker(
    None,
    WorkerFaults { refuse: true, ..WorkerFaults::default() },
    WorkerCallError::Rejected { status: 503 }
)]
#[actix_rt::test]
async fn failures_are_distinguished(
    #[case] link: Option<LinkMode>,
    #[case] faults: WorkerFaults,
    #[case] expected: WorkerCallError,
) {
    let cluster = Cluster::start().await.unwrap();
    let (client, url) = (client(), cluster.workers_link_url());
    if let Some(mode) = link {
        cluster.set_link("workers", mode).await;
    }
    cluster.set_worker_faults(&worker(), faults).await;
    let result = client.lease(&url, &worker(), &lease_request(1)).await;
    assert_eq!(result, Err(expected));
    let run = client
        .run(
            &url,
            &worker(),
            &start_request("quote-1", 0),
            Duration::from_millis(300),
        )
        .await;
    assert_eq!(run, Err(expected));
}

/// Guards against treating a lost command as having no effect: a frozen worker executes it later.
#[actix_rt::test]
async fn lost_command_may_take_effect() {
    let cluster = Cluster::start().await.unwrap();
    let (client, url) = (client(), cluster.workers_link_url());
    let frozen = WorkerFaults {
        freeze: true,
        ..WorkerFaults::default()
    };
    cluster.set_worker_faults(&worker(), frozen).await;
    let result = client.lease(&url, &worker(), &lease_request(1)).await;
    assert_eq!(result, Err(WorkerCallError::Lost));
    assert!(!WorkerCallError::Lost.is_without_effect());

    cluster.set_worker_faults(&worker(), WorkerFaults::default()).await;
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let inventory = client.inventory(&url, &worker()).await.unwrap();
    assert_eq!(inventory.leases[0].lease, LeaseId::new(Epoch(1), 1));
}

/// Guards against a refusal whose type is lost between worker and caller.
#[actix_rt::test]
async fn refusals_keep_their_type() {
    let cluster = Cluster::start().await.unwrap();
    let (client, url) = (client(), cluster.workers().url());
    client.fence(&url, &worker(), Epoch(3)).await.unwrap();
    let refused = |error| Err(WorkerCallError::Refused(error));
    let highest = Epoch(3);
    assert_eq!(
        client.fence(&url, &worker(), Epoch(2)).await.map(|_| ()),
        refused(WorkerError::Fenced { highest })
    );
    let unknown = "elsewhere".parse().unwrap();
    assert_eq!(
        client.ping(&url, &unknown).await.map(|_| ()),
        refused(WorkerError::UnknownWorker)
    );
    let task = start_request("quote-1", 0).task;
    assert_eq!(
        client.stop(&url, &worker(), Epoch(3), &task).await.map(|_| ()),
        refused(WorkerError::UnknownTask)
    );
}

/// Guards against reporting a refusal for a task that ran on a worker that crashed and lost it.
#[actix_rt::test]
async fn run_on_a_worker_that_crashes_is_lost() {
    let cluster = Cluster::start().await.unwrap();
    let (client, url) = (client(), cluster.workers().url());
    client.lease(&url, &worker(), &lease_request(1)).await.unwrap();
    let (worker, request) = (worker(), start_request("quote-1", 5000));
    let kill = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        cluster.kill_worker(&worker, 0).await;
    };
    let (result, ()) = futures_util::join!(client.run(&url, &worker, &request, RUN_TIMEOUT), kill);
    assert_eq!(result, Err(WorkerCallError::Lost));
    assert_eq!(starts(&cluster).await, 1);
}
