use std::sync::Arc;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Counters, gauges and histograms of the process.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Arc<Registry>,
    /// HTTP replies, by path pattern and status.
    pub(crate) http_requests: IntCounterVec,
    /// Open HTTP requests.
    pub(crate) open_requests: IntGauge,
    /// Outcomes reported to callers, by class and outcome.
    pub(crate) job_outcomes: IntCounterVec,
    /// Refusals reported to callers, by code.
    pub(crate) refusals: IntCounterVec,
    /// Time from acceptance of an urgent request to its dispatch.
    pub(crate) urgent_start_seconds: Histogram,
    /// Time from acceptance of an urgent request to its answer.
    pub(crate) urgent_answer_seconds: Histogram,
    /// Urgent requests waiting for a grant.
    pub(crate) urgent_waiting: IntGauge,
    /// Retries of urgent requests.
    pub(crate) urgent_retries: IntCounter,
    /// Urgent requests forwarded to another instance.
    pub(crate) urgent_forwards: IntCounter,
    /// Granted slots held, and those in use, by state.
    pub(crate) granted_slots: IntGaugeVec,
    /// Commands to workers, by command and result.
    pub(crate) worker_commands: IntCounterVec,
    /// Events of the clients of store and workers, by client and event.
    pub(crate) client_events: IntCounterVec,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
    /// Live peers.
    pub(crate) live_peers: IntGauge,
    /// Heartbeats sent, by result.
    pub(crate) heartbeats: IntCounterVec,
    /// Epoch of the scheduling lease held, by data centre; 0 if not held.
    pub(crate) scheduler_epoch: IntGaugeVec,
    /// Whether the store answers.
    pub(crate) store_reachable: IntGauge,
    /// Figures of the scheduler, by data centre and figure.
    pub(crate) scheduler_figures: IntGaugeVec,
    /// Attempt records written in batches.
    pub(crate) recorded_attempts: IntCounter,
    /// Limits on connections: what is held, and connections closed, by listener and name.
    pub(crate) intake: IntGaugeVec,
}

impl Metrics {
    /// Creates the metrics in a separate registry.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a programming error.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            http_requests: counters(
                "galenaspool_http_requests_total",
                "HTTP requests answered.",
                &["path", "status"],
            ),
            open_requests: gauge("galenaspool_open_requests", "HTTP requests open now."),
            job_outcomes: counters(
                "galenaspool_job_outcomes_total",
                "Outcomes told to callers.",
                &["class", "outcome"],
            ),
            refusals: counters("galenaspool_refusals_total", "Refusals told to callers.", &["code"]),
            urgent_start_seconds: histogram(
                "galenaspool_urgent_start_seconds",
                "Time to dispatch of urgent requests.",
            ),
            urgent_answer_seconds: histogram(
                "galenaspool_urgent_answer_seconds",
                "Time to answer of urgent requests.",
            ),
            urgent_waiting: gauge(
                "galenaspool_urgent_waiting_requests",
                "Urgent requests waiting for a grant.",
            ),
            urgent_retries: counter("galenaspool_urgent_retries_total", "Urgent requests tried again."),
            urgent_forwards: counter("galenaspool_urgent_forwards_total", "Urgent requests passed on."),
            granted_slots: gauges("galenaspool_granted_slots", "Slots of grants.", &["state"]),
            worker_commands: counters(
                "galenaspool_worker_commands_total",
                "Commands to workers.",
                &["command", "result"],
            ),
            client_events: counters(
                "galenaspool_client_events_total",
                "Requests of the clients of store and workers, and what became of them.",
                &["client", "event"],
            ),
            config_version: gauge("galenaspool_config_version", "Version of the configuration in force."),
            live_peers: gauge("galenaspool_live_peers", "Peers that answer."),
            heartbeats: counters("galenaspool_heartbeats_total", "Heartbeats sent.", &["result"]),
            scheduler_epoch: gauges(
                "galenaspool_scheduler_epoch",
                "Epoch of the lease held.",
                &["data_centre"],
            ),
            store_reachable: gauge("galenaspool_store_reachable", "Whether the store answers, 0 or 1."),
            scheduler_figures: gauges(
                "galenaspool_scheduler",
                "Figures of the scheduler.",
                &["data_centre", "figure"],
            ),
            recorded_attempts: counter(
                "galenaspool_recorded_attempts_total",
                "Attempt records written in batches.",
            ),
            intake: gauges(
                "galenaspool_intake",
                "Limits on connections: what is held, and connections closed by cause.",
                &["listener", "name"],
            ),
            registry: Arc::new(registry),
        };
        metrics.register();
        metrics
    }

    /// Sets the gauges of the limits on the connections of a listener.
    pub(crate) fn report_intake(&self, listener: &str, figures: impl Iterator<Item = (&'static str, u64)>) {
        for (name, value) in figures {
            self.intake.with_label_values(&[listener, name]).set(value as i64);
        }
    }

    /// Renders all metrics in the text format of Prometheus.
    pub(crate) fn render(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory does not fail, and the names were checked at registration.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }

    fn register(&self) {
        let collectors: Vec<Box<dyn prometheus::core::Collector>> = vec![
            Box::new(self.http_requests.clone()),
            Box::new(self.open_requests.clone()),
            Box::new(self.job_outcomes.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.urgent_start_seconds.clone()),
            Box::new(self.urgent_answer_seconds.clone()),
            Box::new(self.urgent_waiting.clone()),
            Box::new(self.urgent_retries.clone()),
            Box::new(self.urgent_forwards.clone()),
            Box::new(self.granted_slots.clone()),
            Box::new(self.worker_commands.clone()),
            Box::new(self.client_events.clone()),
            Box::new(self.config_version.clone()),
            Box::new(self.live_peers.clone()),
            Box::new(self.heartbeats.clone()),
            Box::new(self.scheduler_epoch.clone()),
            Box::new(self.store_reachable.clone()),
            Box::new(self.scheduler_figures.clone()),
            Box::new(self.recorded_attempts.clone()),
            Box::new(self.intake.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector).expect("metric names are distinct");
        }
    }
}

const VALID: &str = "metric names and labels are valid";

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect(VALID)
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect(VALID)
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect(VALID)
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), labels).expect(VALID)
}

/// Creates a histogram. The bucket bound of 1.6 s is the target for the start of urgent work; the larger bounds show by
/// how much it was missed.
fn histogram(name: &str, help: &str) -> Histogram {
    let buckets = vec![0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets)).expect(VALID)
}
