//! Worker with a client, shared by the tests of the worker protocol.
#![allow(dead_code, clippy::allow_attributes, reason = "each test file uses a part of it")]

use std::time::Duration;

use model::{
    Epoch, InstanceId, LeaseId, LeaseKind, LeaseRequest, RenewRequest, Resources, StartRequest, TaskId, TaskReport,
    WorkerError, WorkerId,
};
use net::{WorkerCallError, WorkerClient, WorkerClientOptions};
use serde_json::json;
use standin::testing::Cluster;
use standin::{LogEntry, LogEvent};

const LIMIT: Duration = Duration::from_secs(2);

/// One worker with a client of it.
pub struct Bench {
    pub cluster: Cluster,
    pub client: WorkerClient,
    pub url: String,
    pub worker: WorkerId,
}

impl Bench {
    pub async fn new() -> Self {
        let cluster = Cluster::start().await.unwrap();
        Self {
            client: WorkerClient::new(WorkerClientOptions::new()),
            url: cluster.workers().url(),
            worker: Cluster::worker_id(1, 1, 1),
            cluster,
        }
    }

    pub async fn fence(&self, epoch: u64) -> Result<Vec<LeaseId>, WorkerCallError> {
        let inventory = self.client.fence(&self.url, &self.worker, Epoch(epoch)).await?;
        Ok(inventory.leases.iter().map(|lease| lease.lease).collect())
    }

    pub async fn lease(&self, id: LeaseId, kind: LeaseKind, ttl_ms: u64) -> Result<(), WorkerCallError> {
        let request = LeaseRequest {
            lease: id,
            epoch: id.epoch,
            holder: InstanceId::new("entry1").unwrap(),
            kind,
            resources: Resources::new(2, 2, 2000, 2048),
            ttl_ms,
        };
        self.client.lease(&self.url, &self.worker, &request).await.map(|_| ())
    }

    pub async fn start(&self, request: &StartRequest) -> Result<TaskReport, WorkerCallError> {
        self.client.start(&self.url, &self.worker, request).await
    }

    pub async fn run(&self, request: &StartRequest) -> Result<TaskReport, WorkerCallError> {
        self.client.run(&self.url, &self.worker, request, LIMIT).await
    }

    pub async fn renew(
        &self,
        epoch: u64,
        leases: Vec<LeaseId>,
        after: u64,
    ) -> Result<(Vec<TaskReport>, Vec<LeaseId>, u64), WorkerCallError> {
        let request = RenewRequest {
            epoch: Epoch(epoch),
            leases,
            ttl_ms: 5000,
            after_sequence: after,
        };
        let report = self.client.renew(&self.url, &self.worker, &request).await?;
        Ok((report.changes, report.lapsed, report.sequence))
    }

    pub async fn log(&self, event: LogEvent) -> Vec<LogEntry> {
        let log = self.cluster.log().await;
        log.into_iter().filter(|entry| entry.event == event).collect()
    }
}

pub fn id(epoch: u64, sequence: u64) -> LeaseId {
    LeaseId::new(Epoch(epoch), sequence)
}

pub fn task(lease: LeaseId, request: &str, run_ms: u64) -> StartRequest {
    StartRequest {
        lease,
        epoch: lease.epoch,
        task: TaskId::new(format!("clyde-koi/{request}").parse().unwrap(), 1, 0),
        resources: Resources::new(1, 1, 1000, 1024),
        payload: json!({"run_ms": run_ms}),
        resume_from: None,
        checkpointable: true,
    }
}

pub fn refused<T>(error: WorkerError) -> Result<T, WorkerCallError> {
    Err(WorkerCallError::Refused(error))
}
