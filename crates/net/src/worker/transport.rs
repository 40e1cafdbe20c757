use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use awc::ClientRequest;
use awc::error::{ConnectError, JsonPayloadError, SendRequestError};
use model::{WorkerError, WorkerId};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::target::Target;
use crate::{WorkerCallError, WorkerClientOptions, WorkerClientStats};

/// How an exchange failed before it gave a whole reply.
pub(super) enum Failure {
    /// Refused, rejected, not sent or broken off.
    Call(WorkerCallError),
    /// No reply within the bound.
    Silent,
}

/// Sends requests over pooled connections and replaces silent ones.
pub(super) struct Transport {
    options: WorkerClientOptions,
    targets: RefCell<HashMap<String, Target>>,
    stats: Cell<WorkerClientStats>,
}

impl Transport {
    pub fn new(options: WorkerClientOptions) -> Self {
        Self {
            options,
            targets: RefCell::default(),
            stats: Cell::default(),
        }
    }

    pub async fn call<B: Serialize, R: DeserializeOwned>(
        &self,
        base_url: &str,
        worker: &WorkerId,
        target: &Target,
        call: ClientRequest,
        body: Option<&B>,
    ) -> Result<R, WorkerCallError> {
        // The connector bounds the connection by itself, so that the outer bound ends only requests that were sent.
        let bound = self.options.connect_timeout + self.options.call_timeout;
        match self.exchange(base_url, call, body, bound).await {
            Ok(reply) => Ok(reply),
            Err(Failure::Call(error)) => Err(error),
            Err(Failure::Silent) => {
                self.replace(base_url, worker, target.generation);
                Err(WorkerCallError::Lost)
            }
        }
    }

    pub async fn exchange<B: Serialize, R: DeserializeOwned>(
        &self,
        base_url: &str,
        call: ClientRequest,
        body: Option<&B>,
        bound: Duration,
    ) -> Result<R, Failure> {
        self.count(|stats| stats.requests += 1);
        // Dropping the future at the bound closes its connection.
        let result = timeout(bound, self.send(call, body)).await;
        match &result {
            Ok(Err(WorkerCallError::Refused(_))) => self.count(|stats| stats.refused += 1),
            Ok(Err(WorkerCallError::NotSent)) => self.count(|stats| stats.not_sent += 1),
            Ok(Err(WorkerCallError::Lost)) | Err(_) => self.count(|stats| stats.lost += 1),
            Ok(_) => {}
        }
        if let Ok(Ok(_) | Err(WorkerCallError::Refused(_) | WorkerCallError::Rejected { .. })) = &result
            && let Some(target) = self.targets.borrow_mut().get_mut(base_url)
        {
            target.heard_at = Instant::now();
        }
        match result {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => Err(Failure::Call(error)),
            Err(_) => Err(Failure::Silent),
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

    /// Returns the addresses that were not heard from for the idle check interval, with a worker to ping.
    pub fn idle(&self) -> Vec<(String, WorkerId)> {
        self.targets
            .borrow()
            .iter()
            .filter(|(_, target)| target.heard_at.elapsed() >= self.options.idle_check_interval)
            .map(|(base_url, target)| (base_url.clone(), target.worker.clone()))
            .collect()
    }

    pub fn is_heard_since(&self, base_url: &str, instant: Instant) -> bool {
        self.targets
            .borrow()
            .get(base_url)
            .is_some_and(|target| target.heard_at >= instant)
    }

    pub fn forget(&self, base_url: &str) {
        self.targets.borrow_mut().remove(base_url);
    }

    pub fn target(&self, base_url: &str, worker: &WorkerId) -> Target {
        let mut targets = self.targets.borrow_mut();
        if let Some(target) = targets.get_mut(base_url) {
            if target.worker != *worker {
                target.worker = worker.clone();
            }
            return target.clone();
        }
        let target = Target::new(&self.options, 0, worker.clone());
        targets.insert(base_url.to_owned(), target.clone());
        target
    }

    /// Closes the idle connections to an address, unless this was done since `generation`.
    pub fn replace(&self, base_url: &str, worker: &WorkerId, generation: u64) {
        let mut targets = self.targets.borrow_mut();
        if let Some(target) = targets.get_mut(base_url)
            && target.generation == generation
        {
            *target = Target::new(&self.options, generation + 1, worker.clone());
            self.count(|stats| stats.connections_replaced += 1);
        }
    }

    fn count(&self, change: impl FnOnce(&mut WorkerClientStats)) {
        let mut stats = self.stats.get();
        change(&mut stats);
        self.stats.set(stats);
    }
}

pub(super) fn path(base_url: &str, worker: &WorkerId, verb: &str) -> String {
    format!("{}/v1/workers/{worker}/{verb}", base_url.trim_end_matches('/'))
}
