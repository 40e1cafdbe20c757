use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use conf::Settings;
use net::{WorkerClient, WorkerClientOptions};
use store::{PlatformClient, PlatformClientOptions};

use crate::clock::Clock;
use crate::members::PeerLinks;
use crate::metrics::Metrics;
use crate::published_state::PublishedState;
use crate::timeline::Timeline;

/// Settings and state shared by all actors of the process, usable on any thread.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) settings: Arc<Settings>,
    pub(crate) clock: Clock,
    pub(crate) timeline: Timeline,
    pub(crate) metrics: Metrics,
    pub(crate) published: Arc<PublishedState>,
    pub(crate) links: PeerLinks,
}

/// Clients of the platform and the workers, usable only on the thread of the actors.
#[derive(Debug, Clone)]
pub(crate) struct Clients {
    pub(crate) store: Rc<PlatformClient>,
    pub(crate) workers: Rc<WorkerClient>,
}

impl Clients {
    pub(crate) fn new(settings: &Settings) -> Self {
        let store = PlatformClientOptions::new(settings.platform_url.clone())
            .timeout(Duration::from_millis(settings.store_timeout_ms))
            .writes_per_s(settings.store_writes_per_s as f64)
            .reads_per_s(settings.store_reads_per_s as f64);
        let workers = WorkerClientOptions::new()
            .call_timeout(Duration::from_millis(settings.worker_timeout_ms))
            .idle_check_interval(Duration::from_millis(settings.worker_silent_ms / 2));
        Self {
            store: Rc::new(PlatformClient::new(store)),
            workers: Rc::new(WorkerClient::new(workers)),
        }
    }

    /// Copies the clients' counters to the metrics.
    pub(crate) fn report(&self, metrics: &Metrics) {
        let (store, workers) = (self.store.stats(), self.workers.stats());
        let figures = [
            ("store", "writes", store.writes),
            ("store", "reads", store.reads),
            ("store", "conflicts", store.conflicts),
            ("store", "unknown", store.unknown),
            ("store", "unavailable", store.unavailable),
            ("store", "held_back", store.held_back),
            ("store", "breaker_opened", store.breaker_opened),
            ("store", "connections_replaced", store.connections_replaced),
            ("workers", "requests", workers.requests),
            ("workers", "refused", workers.refused),
            ("workers", "not_sent", workers.not_sent),
            ("workers", "lost", workers.lost),
            ("workers", "connections_replaced", workers.connections_replaced),
        ];
        for (client, event, count) in figures {
            let counter = metrics.client_events.with_label_values(&[client, event]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }
}

impl Context {
    pub(crate) fn new(settings: Settings) -> Self {
        let clock = Clock::new();
        let capacity_events = settings.timeline_capacity_events as usize;
        Self {
            timeline: Timeline::new(settings.instance.clone(), capacity_events, clock),
            metrics: Metrics::new(),
            published: Arc::new(PublishedState::new()),
            links: PeerLinks::new(&settings),
            clock,
            settings: Arc::new(settings),
        }
    }
}
