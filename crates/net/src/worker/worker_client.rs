use std::fmt;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use model::{
    Epoch, Inventory, LeaseId, LeaseInfo, LeaseRequest, RenewRequest, StartRequest, TaskId, TaskReport, WorkerId,
    WorkerReport,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::transport::{ExchangeError, Transport, worker_url};
use crate::{
    FenceRequest, PingReply, RevokeRequest, TaskCommand, ThrottleRequest, UsagePage, WorkerCallError,
    WorkerClientOptions, WorkerClientStats,
};

/// HTTP client of workers with pooled connections; each actix arbiter needs its own.
///
/// A connection whose request gets no reply in time is closed, together with the idle ones to the same address, because
/// established connections can hang while new ones work.
pub struct WorkerClient {
    transport: Transport,
}

impl WorkerClient {
    /// Creates a client without connections.
    pub fn new(options: WorkerClientOptions) -> Self {
        Self {
            transport: Transport::new(options),
        }
    }

    /// Raises the epoch of a worker and returns its inventory.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`]; a worker that has seen a higher epoch refuses the request.
    pub async fn fence(&self, base_url: &str, worker: &WorkerId, epoch: Epoch) -> Result<Inventory, WorkerCallError> {
        self.post(base_url, worker, "fence", &FenceRequest { epoch }).await
    }

    /// Requests a slot lease from a worker.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`]; repeating the request with the same id is safe.
    pub async fn lease(
        &self,
        base_url: &str,
        worker: &WorkerId,
        request: &LeaseRequest,
    ) -> Result<LeaseInfo, WorkerCallError> {
        self.post(base_url, worker, "lease", request).await
    }

    /// Starts a task and returns its first report.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`]; repeating the request with the same task id is safe.
    pub async fn start(
        &self,
        base_url: &str,
        worker: &WorkerId,
        request: &StartRequest,
    ) -> Result<TaskReport, WorkerCallError> {
        self.post(base_url, worker, "start", request).await
    }

    /// Starts a task, waits at most `timeout` for it to end, and returns its last report.
    ///
    /// Until a reply arrives, the request is sent again on another connection at each run check interval. The worker
    /// starts a task id only once, so an unresponsive connection delays the start by one interval only.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`]; [`WorkerCallError::Lost`] if the task may have been started and its end is not known
    /// within `timeout`.
    pub async fn run(
        &self,
        base_url: &str,
        worker: &WorkerId,
        request: &StartRequest,
        timeout: Duration,
    ) -> Result<TaskReport, WorkerCallError> {
        const MAX_LOST_REPLIES: u32 = 3;
        let deadline = Instant::now() + timeout;
        let mut may_have_started = false;
        let mut lost_replies = 0;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(if may_have_started {
                    WorkerCallError::Lost
                } else {
                    WorkerCallError::NotSent
                });
            }
            let sent_at = Instant::now();
            let pool = self.transport.pool(base_url, worker);
            let max_wait = self.transport.options().run_check_interval.min(remaining);
            let call = pool.client.post(worker_url(base_url, worker, "run"));
            match self.transport.exchange(base_url, call, Some(request), max_wait).await {
                Ok(report) => return Ok(report),
                Err(ExchangeError::TimedOut) => {
                    may_have_started = true;
                    // Other replies from the address show that its connections work and the task is still running.
                    if !self.transport.has_replied_since(base_url, sent_at) {
                        self.transport.replace(base_url, worker, pool.generation);
                    }
                }
                Err(ExchangeError::Call(WorkerCallError::Lost)) => {
                    may_have_started = true;
                    lost_replies += 1;
                    if lost_replies >= MAX_LOST_REPLIES {
                        return Err(WorkerCallError::Lost);
                    }
                }
                // A worker that lost the task in a crash also refuses, so a refusal does not prove that it never ran.
                Err(ExchangeError::Call(_)) if may_have_started => return Err(WorkerCallError::Lost),
                Err(ExchangeError::Call(error)) => return Err(error),
            }
        }
    }

    /// Renews leases at a worker and returns the task state changes.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`].
    pub async fn renew(
        &self,
        base_url: &str,
        worker: &WorkerId,
        request: &RenewRequest,
    ) -> Result<WorkerReport, WorkerCallError> {
        self.post(base_url, worker, "renew", request).await
    }

    /// Stops a task and returns its last report.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`].
    pub async fn stop(
        &self,
        base_url: &str,
        worker: &WorkerId,
        epoch: Epoch,
        task: &TaskId,
    ) -> Result<TaskReport, WorkerCallError> {
        let task = task.clone();
        self.post(base_url, worker, "stop", &TaskCommand { epoch, task }).await
    }

    /// Checkpoints a task, stops it and returns its last report.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`].
    pub async fn checkpoint(
        &self,
        base_url: &str,
        worker: &WorkerId,
        epoch: Epoch,
        task: &TaskId,
    ) -> Result<TaskReport, WorkerCallError> {
        let task = task.clone();
        self.post(base_url, worker, "checkpoint", &TaskCommand { epoch, task })
            .await
    }

    /// Limits a running task to `share_percent` of full speed and returns its report.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`].
    pub async fn throttle(
        &self,
        base_url: &str,
        worker: &WorkerId,
        epoch: Epoch,
        task: &TaskId,
        share_percent: u8,
    ) -> Result<TaskReport, WorkerCallError> {
        let request = ThrottleRequest {
            epoch,
            task: task.clone(),
            share_percent,
        };
        self.post(base_url, worker, "throttle", &request).await
    }

    /// Revokes a lease, stops its tasks and returns the reports of tasks that were started under it.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`]; repeating the request is safe.
    pub async fn revoke(
        &self,
        base_url: &str,
        worker: &WorkerId,
        epoch: Epoch,
        lease: LeaseId,
    ) -> Result<Vec<TaskReport>, WorkerCallError> {
        self.post(base_url, worker, "revoke", &RevokeRequest { epoch, lease })
            .await
    }

    /// Reads the inventory of a worker: its leases and tasks.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`].
    pub async fn inventory(&self, base_url: &str, worker: &WorkerId) -> Result<Inventory, WorkerCallError> {
        self.get(base_url, worker, "inventory").await
    }

    /// Reads usage entries after sequence number `after`; the worker then deletes those up to `after`.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`].
    pub async fn usage(&self, base_url: &str, worker: &WorkerId, after: u64) -> Result<UsagePage, WorkerCallError> {
        self.get(base_url, worker, &format!("usage?after={after}")).await
    }

    /// Checks whether a worker replies.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerCallError`].
    pub async fn ping(&self, base_url: &str, worker: &WorkerId) -> Result<PingReply, WorkerCallError> {
        self.get(base_url, worker, "ping").await
    }

    /// Pings each address without a reply for at least the idle check interval; call it about once a second.
    ///
    /// The connections to an address that does not reply are closed. An address to which no connection can be made is
    /// dropped until the next call to it.
    pub async fn check_idle(&self) {
        let idle_addresses = self.transport.idle_addresses();
        join_all(idle_addresses.iter().map(|(base_url, worker)| async move {
            if self.ping(base_url, worker).await == Err(WorkerCallError::NotSent) {
                self.transport.remove(base_url);
            }
        }))
        .await;
    }

    /// Returns the counters.
    pub fn stats(&self) -> WorkerClientStats {
        self.transport.stats()
    }

    async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        base_url: &str,
        worker: &WorkerId,
        verb: &str,
        body: &B,
    ) -> Result<R, WorkerCallError> {
        let pool = self.transport.pool(base_url, worker);
        let call = pool.client.post(worker_url(base_url, worker, verb));
        self.transport.call(base_url, worker, &pool, call, Some(body)).await
    }

    async fn get<R: DeserializeOwned>(
        &self,
        base_url: &str,
        worker: &WorkerId,
        verb: &str,
    ) -> Result<R, WorkerCallError> {
        let pool = self.transport.pool(base_url, worker);
        let call = pool.client.get(worker_url(base_url, worker, verb));
        self.transport.call(base_url, worker, &pool, call, None::<&()>).await
    }
}

impl fmt::Debug for WorkerClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerClient")
            .field("options", self.transport.options())
            .field("stats", &self.transport.stats())
            .finish_non_exhaustive()
    }
}
