use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use awc::ClientRequest;
use awc::error::{ConnectError, JsonPayloadError, SendRequestError};
use model::{WorkerError, WorkerId};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::connection_pool::ConnectionPool;
use crate::{WorkerCallError, WorkerClientOptions, WorkerClientStats};

/// Reason why an exchange produced no usable reply.
pub(super) enum ExchangeError {
    /// Refused, rejected, not sent, or reply lost.
    Call(WorkerCallError),
    /// No complete reply within the timeout.
    TimedOut,
}

/// Sends requests over pooled connections and replaces unresponsive ones.
pub(super) struct Transport {
    options: WorkerClientOptions,
    pools: RefCell<HashMap<String, ConnectionPool>>,
    stats: Cell<WorkerClientStats>,
}

impl Transport {
    pub fn new(options: WorkerClientOptions) -> Self {
        Self {
            options,
            pools: RefCell::default(),
            stats: Cell::default(),
        }
    }

    pub async fn call<B: Serialize, R: DeserializeOwned>(
        &self,
        base_url: &str,
        worker: &WorkerId,
        pool: &ConnectionPool,
        call: ClientRequest,
        body: Option<&B>,
    ) -> Result<R, WorkerCallError> {
        // The connector applies the connect timeout by itself, so this timeout ends only requests that were sent.
        let max_wait = self.options.connect_timeout + self.options.call_timeout;
        match self.exchange(base_url, call, body, max_wait).await {
            Ok(reply) => Ok(reply),
            Err(ExchangeError::Call(error)) => Err(error),
            Err(ExchangeError::TimedOut) => {
                self.replace(base_url, worker, pool.generation);
                Err(WorkerCallError::Lost)
            }
        }
    }

    pub async fn exchange<B: Serialize, R: DeserializeOwned>(
        &self,
        base_url: &str,
        call: ClientRequest,
        body: Option<&B>,
        max_wait: Duration,
    ) -> Result<R, ExchangeError> {
        self.update_stats(|stats| stats.requests += 1);
        // Dropping the future on timeout closes its connection.
        let result = timeout(max_wait, self.send(call, body)).await;
        match &result {
            Ok(Err(WorkerCallError::Refused(_))) => self.update_stats(|stats| stats.refused += 1),
            Ok(Err(WorkerCallError::NotSent)) => self.update_stats(|stats| stats.not_sent += 1),
            Ok(Err(WorkerCallError::Lost)) | Err(_) => self.update_stats(|stats| stats.lost += 1),
            Ok(_) => {}
        }
        if let Ok(Ok(_) | Err(WorkerCallError::Refused(_) | WorkerCallError::Rejected { .. })) = &result
            && let Some(pool) = self.pools.borrow_mut().get_mut(base_url)
        {
            pool.last_reply_at = Instant::now();
        }
        match result {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => Err(ExchangeError::Call(error)),
            Err(_) => Err(ExchangeError::TimedOut),
        }
    }

    async fn send<B: Serialize, R: DeserializeOwned>(
        &self,
        call: ClientRequest,
        body: Option<&B>,
    ) -> Result<R, WorkerCallError> {
        let sent = match body {
            Some(body) => call.send_json(body).await,
            None => call.send().await,
        };
        let mut reply = sent.map_err(|error| match error {
            // `Disconnected` also means that the connection closed after the request was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => WorkerCallError::Lost,
            SendRequestError::Url(_) | SendRequestError::Connect(_) | SendRequestError::Http(_) => {
                WorkerCallError::NotSent
            }
            _ => WorkerCallError::Lost,
        })?;
        let status = reply.status().as_u16();
        let limit = self.options.max_reply_bytes;
        match status {
            200 => reply.json().limit(limit).await.map_err(|_| WorkerCallError::Lost),
            400..=499 => Err(match reply.json::<WorkerError>().limit(limit).await {
                Ok(error) => WorkerCallError::Refused(error),
                Err(JsonPayloadError::Payload(_)) => WorkerCallError::Lost,
                Err(_) => WorkerCallError::Rejected { status },
            }),
            503 => Err(WorkerCallError::Rejected { status }),
            _ => Err(WorkerCallError::Lost),
        }
    }

    pub const fn options(&self) -> &WorkerClientOptions {
        &self.options
    }

    pub fn stats(&self) -> WorkerClientStats {
        self.stats.get()
    }

    /// Returns the addresses without a reply for at least the idle check interval, each with a worker to ping.
    pub fn idle_addresses(&self) -> Vec<(String, WorkerId)> {
        self.pools
            .borrow()
            .iter()
            .filter(|(_, pool)| pool.last_reply_at.elapsed() >= self.options.idle_check_interval)
            .map(|(base_url, pool)| (base_url.clone(), pool.worker.clone()))
            .collect()
    }

    pub fn has_replied_since(&self, base_url: &str, instant: Instant) -> bool {
        self.pools
            .borrow()
            .get(base_url)
            .is_some_and(|pool| pool.last_reply_at >= instant)
    }

    pub fn remove(&self, base_url: &str) {
        self.pools.borrow_mut().remove(base_url);
    }

    pub fn pool(&self, base_url: &str, worker: &WorkerId) -> ConnectionPool {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(base_url) {
            if pool.worker != *worker {
                pool.worker = worker.clone();
            }
            return pool.clone();
        }
        let pool = ConnectionPool::new(&self.options, 0, worker.clone());
        pools.insert(base_url.to_owned(), pool.clone());
        pool
    }

    /// Replaces the connection pool of an address, unless that was already done after `generation`.
    pub fn replace(&self, base_url: &str, worker: &WorkerId, generation: u64) {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(base_url)
            && pool.generation == generation
        {
            *pool = ConnectionPool::new(&self.options, generation + 1, worker.clone());
            self.update_stats(|stats| stats.connections_replaced += 1);
        }
    }

    fn update_stats(&self, change: impl FnOnce(&mut WorkerClientStats)) {
        let mut stats = self.stats.get();
        change(&mut stats);
        self.stats.set(stats);
    }
}

pub(super) fn worker_url(base_url: &str, worker: &WorkerId, verb: &str) -> String {
    format!("{}/v1/workers/{worker}/{verb}", base_url.trim_end_matches('/'))
}
