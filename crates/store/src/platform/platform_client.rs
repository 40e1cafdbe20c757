use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use awc::http::StatusCode;
use awc::{Client, ClientRequest, SendClientRequest};
use bytes::Bytes;
use serde::de::DeserializeOwned;

use super::breaker::Breaker;
use super::rate_limiter::RateLimiter;
use super::transport::{NoReply, Reply, Transport};
use crate::{
    ConflictBody, Directory, Listing, Objects, PlatformClientOptions, PlatformClientStats, Resolved, Row, StoreError,
    Table, Txn, TxnReply, Urgency, commit_resolved,
};

/// HTTP client of the platform with rate limits, a circuit breaker and replacement of unresponsive connections.
pub struct PlatformClient {
    options: PlatformClientOptions,
    transport: Transport,
    write_limiter: RateLimiter,
    read_limiter: RateLimiter,
    breaker: Breaker,
    stats: Cell<PlatformClientStats>,
}

impl PlatformClient {
    /// Creates a client; it connects on the first request.
    pub fn new(options: PlatformClientOptions) -> Self {
        Self {
            transport: Transport::new(options.connect_timeout, options.timeout),
            write_limiter: RateLimiter::new(options.writes_per_s),
            read_limiter: RateLimiter::new(options.reads_per_s),
            breaker: Breaker::new(options.failure_threshold, options.probe_delay),
            stats: Cell::default(),
            options,
        }
    }

    /// Commits a transaction and reads it back if the reply is lost; see [`commit_resolved`].
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; only [`StoreError::Unknown`] leaves open whether the write took effect.
    pub async fn commit_resolved(
        &self,
        txn: &Txn,
        urgency: Urgency,
        timeout: Duration,
    ) -> Result<Resolved, StoreError> {
        commit_resolved(self, txn, urgency, timeout).await
    }

    /// Registers workers and entry instances in the platform's list, or updates their state.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; repeating the request is safe.
    pub async fn register(&self, listing: &Listing) -> Result<(), StoreError> {
        let url = self.url("instances");
        let reply = self
            .write(
                Urgency::Job,
                |client| client.post(url),
                |request| request.send_json(listing),
            )
            .await?;
        expect_ok(&reply)
    }

    /// Checks the connections if no reply arrived within the idle check interval; call it about once a second.
    pub async fn check_idle(&self) {
        if self.transport.since_last_reply() >= self.options.idle_check_interval {
            // The key does not matter: the read only tests whether the connection delivers a reply.
            let _ = self.read("ping").await;
        }
    }

    /// Returns the counters.
    pub fn stats(&self) -> PlatformClientStats {
        PlatformClientStats {
            breaker_opened: self.breaker.times_opened(),
            connections_replaced: self.transport.replaced(),
            is_breaker_open: self.breaker.is_open(),
            writes_waiting: self.write_limiter.waiting(),
            reads_waiting: self.read_limiter.waiting(),
            ..self.stats.get()
        }
    }

    async fn write(
        &self,
        urgency: Urgency,
        build: impl FnOnce(&Client) -> ClientRequest,
        send: impl FnOnce(ClientRequest) -> SendClientRequest,
    ) -> Result<Reply, StoreError> {
        let result = self.exchange(&self.write_limiter, urgency, build, send).await;
        result.map_err(|failure| match failure {
            Some(NoReply::Lost) => {
                self.update_stats(|stats| stats.unknown += 1);
                StoreError::Unknown
            }
            _ => StoreError::Unavailable,
        })
    }

    async fn fetch<R: DeserializeOwned>(
        &self,
        urgency: Urgency,
        build: impl FnOnce(&Client) -> ClientRequest,
    ) -> Result<Option<R>, StoreError> {
        match self.fetch_bytes(urgency, build).await? {
            Some(body) => serde_json::from_slice(&body)
                .map(Some)
                .map_err(|_| StoreError::Unavailable),
            None => Ok(None),
        }
    }

    async fn fetch_bytes(
        &self,
        urgency: Urgency,
        build: impl FnOnce(&Client) -> ClientRequest,
    ) -> Result<Option<Bytes>, StoreError> {
        let reply = self
            .exchange(&self.read_limiter, urgency, build, ClientRequest::send)
            .await
            .map_err(|_| StoreError::Unavailable)?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        expect_ok(&reply)?;
        Ok(Some(reply.body))
    }

    /// Sends a request subject to rate limit and circuit breaker; the error `None` means that it failed without effect.
    async fn exchange(
        &self,
        limiter: &RateLimiter,
        urgency: Urgency,
        build: impl FnOnce(&Client) -> ClientRequest,
        send: impl FnOnce(ClientRequest) -> SendClientRequest,
    ) -> Result<Reply, Option<NoReply>> {
        let held_back = || {
            self.update_stats(|stats| stats.held_back += 1);
            None
        };
        if self.breaker.is_blocking() || !limiter.acquire(urgency, self.options.rate_limit_wait).await {
            return Err(held_back());
        }
        let Some(permit) = self.breaker.try_acquire() else {
            limiter.release();
            return Err(held_back());
        };
        let is_write = std::ptr::eq(limiter, &raw const self.write_limiter);
        self.update_stats(|stats| *(if is_write { &mut stats.writes } else { &mut stats.reads }) += 1);
        let reply = self.transport.send(build, send).await;
        let failure = match reply {
            Ok(reply) if !reply.status.is_server_error() => {
                permit.record_success();
                return Ok(reply);
            }
            // Status 503 means that the platform refused the request before processing it.
            Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => None,
            Ok(_) => Some(NoReply::Lost),
            Err(failure) => Some(failure),
        };
        if !is_write || failure != Some(NoReply::Lost) {
            self.update_stats(|stats| stats.unavailable += 1);
        }
        Err(failure)
    }

    fn url(&self, path: &str) -> String {
        format!("{}/v1/{path}", self.options.base_url.trim_end_matches('/'))
    }

    fn update_stats(&self, change: impl FnOnce(&mut PlatformClientStats)) {
        let mut stats = self.stats.get();
        change(&mut stats);
        self.stats.set(stats);
    }
}

impl Table for PlatformClient {
    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let url = self.url(&format!("table/rows/{key}"));
        self.fetch(urgency_of_read(key), |client| client.get(url)).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, StoreError> {
        let limit = limit.to_string();
        let url = self.url("table/rows");
        let rows = self.fetch(urgency_of_read(prefix), |client| {
            let query = [("prefix", prefix), ("after", after), ("limit", &limit)];
            let request = client.get(url);
            request.query(&query).expect("text pairs form a query")
        });
        Ok(rows.await?.unwrap_or_default())
    }

    async fn commit(&self, txn: &Txn, urgency: Urgency) -> Result<Vec<u64>, StoreError> {
        let url = self.url("table/txn");
        let reply = self
            .write(urgency, |client| client.post(url), |request| request.send_json(txn))
            .await?;
        if reply.status == StatusCode::CONFLICT {
            self.update_stats(|stats| stats.conflicts += 1);
            let ConflictBody { key, current } =
                serde_json::from_slice(&reply.body).map_err(|_| StoreError::Rejected { status: 409 })?;
            return Err(StoreError::Conflict { key, current });
        }
        expect_ok(&reply)?;
        serde_json::from_slice(&reply.body)
            .map(|TxnReply { versions }| versions)
            .map_err(|_| StoreError::Unknown)
    }
}

impl Objects for PlatformClient {
    async fn get(&self, key: &str) -> Result<Option<Bytes>, StoreError> {
        let url = self.url(&format!("objects/{key}"));
        self.fetch_bytes(Urgency::Job, |client| client.get(url)).await
    }

    async fn put(&self, key: &str, body: Bytes) -> Result<(), StoreError> {
        let url = self.url(&format!("objects/{key}"));
        let reply = self
            .write(
                Urgency::Job,
                |client| client.put(url),
                |request| request.send_body(body),
            )
            .await?;
        expect_ok(&reply)
    }
}

impl Directory for PlatformClient {
    async fn list(&self) -> Result<Listing, StoreError> {
        let url = self.url("instances");
        let listing = self.fetch(Urgency::Lease, |client| client.get(url)).await?;
        listing.ok_or(StoreError::Unavailable)
    }
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformClient")
            .field("options", &self.options)
            .field("stats", &self.stats())
            .finish_non_exhaustive()
    }
}

fn expect_ok(reply: &Reply) -> Result<(), StoreError> {
    if reply.status == StatusCode::OK {
        return Ok(());
    }
    Err(StoreError::Rejected {
        status: reply.status.as_u16(),
    })
}

/// Reads of scheduling leases and configuration take precedence over reads of job rows, like the writes.
fn urgency_of_read(key: &str) -> Urgency {
    if key.starts_with("sched/") || key.starts_with("config/") {
        Urgency::Lease
    } else {
        Urgency::Job
    }
}
