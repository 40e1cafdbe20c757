use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::sleep;
use awc::Client;
use awc::http::StatusCode;
use model::WorkerId;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    LinkMode, LinkModeRequest, LinkOptions, LinkStatus, LogEntry, LogPage, Platform, PlatformFaults, PlatformOptions,
    PlatformStats, Relay, RelayOptions, RunningServer, StandinError, WorkerFaultRequest, WorkerFaults, Workers,
    WorkersOptions,
};

/// Platform, workers and a relay in front of both, within a test process.
///
/// The relay's links are `platform` and `workers`. Requests sent to the stand-ins directly bypass it.
#[derive(Debug)]
pub struct Cluster {
    platform: RunningServer,
    workers: RunningServer,
    relay: RunningServer,
    platform_link: SocketAddr,
    workers_link: SocketAddr,
}

impl Cluster {
    /// Starts 6 workers in 3 data centres with their platform; the list and usage reports lag by 50 ms only.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if an address cannot be listened on.
    ///
    /// # Panics
    ///
    /// Panics if a stand-in that was just started does not reply.
    pub async fn start() -> Result<Self, StandinError> {
        let platform = PlatformOptions::new().list_lag_ms(50);
        let workers = WorkersOptions::new()
            .workers(6)
            .usage_lag_ms(50)
            .register_interval_ms(50);
        Self::start_with(&platform, workers).await
    }

    /// Starts the stand-ins with options; the workers register with the platform.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if an address cannot be listened on.
    ///
    /// # Panics
    ///
    /// Panics if a stand-in that was just started does not reply.
    pub async fn start_with(platform: &PlatformOptions, workers: WorkersOptions) -> Result<Self, StandinError> {
        let platform = Platform::start(platform)?;
        let workers = Workers::start(&workers.platform(platform.url()))?;
        let relay = RelayOptions::new()
            .link(LinkOptions::new("platform", platform.address()))
            .link(LinkOptions::new("workers", workers.address()));
        let relay = Relay::start(&relay)?;
        let links: Vec<LinkStatus> = get(&format!("{}/v1/links", relay.url())).await;
        Ok(Self {
            platform,
            workers,
            relay,
            platform_link: links[0].listen,
            workers_link: links[1].listen,
        })
    }

    /// Returns the platform.
    pub const fn platform(&self) -> &RunningServer {
        &self.platform
    }

    /// Returns the workers.
    pub const fn workers(&self) -> &RunningServer {
        &self.workers
    }

    /// Returns the base URL of the platform through the relay.
    pub fn platform_link_url(&self) -> String {
        format!("http://{}", self.platform_link)
    }

    /// Returns the base URL of the workers through the relay.
    pub fn workers_link_url(&self) -> String {
        format!("http://{}", self.workers_link)
    }

    /// Sets the mode of a link of the relay, `platform` or `workers`.
    ///
    /// # Panics
    ///
    /// Panics if the relay does not accept the mode.
    pub async fn set_link(&self, link: &str, mode: LinkMode) {
        let request = LinkModeRequest {
            links: vec![link.to_owned()],
            mode,
        };
        post(&format!("{}/v1/links", self.relay.url()), &request).await;
        // Gives the tasks of open connections time to see the change.
        sleep(Duration::from_millis(20)).await;
    }

    /// Returns the links of the relay.
    ///
    /// # Panics
    ///
    /// Panics if the relay does not reply.
    pub async fn links(&self) -> Vec<LinkStatus> {
        get(&format!("{}/v1/links", self.relay.url())).await
    }

    /// Replaces the faults of the platform.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not accept them.
    pub async fn set_platform_faults(&self, faults: PlatformFaults) {
        post(&format!("{}/v1/faults", self.platform.url()), &faults).await;
    }

    /// Replaces the faults of one worker.
    ///
    /// # Panics
    ///
    /// Panics if the worker is not known.
    pub async fn set_worker_faults(&self, worker: &WorkerId, faults: WorkerFaults) {
        let workers = vec![worker.clone()];
        self.fault_workers(&WorkerFaultRequest {
            workers,
            faults,
            ..WorkerFaultRequest::default()
        })
        .await;
    }

    /// Kills one worker, which stays down for `down_ms`.
    ///
    /// # Panics
    ///
    /// Panics if the worker is not known.
    pub async fn kill_worker(&self, worker: &WorkerId, down_ms: u64) {
        let workers = vec![worker.clone()];
        self.fault_workers(&WorkerFaultRequest {
            workers,
            kill: true,
            down_ms,
            ..WorkerFaultRequest::default()
        })
        .await;
    }

    /// Sends a fault request to the workers stand-in.
    ///
    /// # Panics
    ///
    /// Panics if it selects no worker.
    pub async fn fault_workers(&self, request: &WorkerFaultRequest) {
        post(&format!("{}/v1/faults", self.workers.url()), request).await;
    }

    /// Returns the counters of the platform.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not reply.
    pub async fn platform_stats(&self) -> PlatformStats {
        get(&format!("{}/v1/stats", self.platform.url())).await
    }

    /// Returns the execution log of the workers.
    ///
    /// # Panics
    ///
    /// Panics if the workers do not reply.
    pub async fn log(&self) -> Vec<LogEntry> {
        let mut entries: Vec<LogEntry> = Vec::new();
        loop {
            let after = entries.last().map_or(0, |entry| entry.sequence);
            let page: LogPage = get(&format!("{}/v1/log?after={after}", self.workers.url())).await;
            if page.entries.is_empty() {
                return entries;
            }
            entries.extend(page.entries);
        }
    }

    /// Returns the id of a worker from its numbers, which start at 1.
    ///
    /// # Panics
    ///
    /// Never panics: the names are valid.
    pub fn worker_id(data_centre: usize, rack: usize, worker: usize) -> WorkerId {
        let name = format!("dc{data_centre}-r{rack}-w{worker}");
        name.parse().expect("generated names are valid")
    }
}

async fn get<R: DeserializeOwned>(url: &str) -> R {
    let mut reply = Client::new().get(url).send().await.expect("the stand-in replies");
    reply
        .json()
        .limit(256 << 20)
        .await
        .expect("the reply is of the expected type")
}

async fn post<B: Serialize>(url: &str, body: &B) {
    let reply = Client::new()
        .post(url)
        .send_json(body)
        .await
        .expect("the stand-in replies");
    assert_eq!(reply.status(), StatusCode::OK, "the stand-in accepts the request");
}
