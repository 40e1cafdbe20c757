use domain::OrganisationShare;
use prometheus::{Encoder, Histogram, HistogramOpts, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder};

/// Prometheus metrics of an instance.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Calls by method and status.
    pub calls: IntCounterVec,
    /// Seconds until a call was answered.
    pub call_seconds: Histogram,
    /// Calls to the store by operation and outcome.
    pub store_calls: IntCounterVec,
    /// Refused calls by cause.
    pub refusals: IntCounterVec,
    /// Changes of the scheduling lease by kind.
    pub lease_changes: IntCounterVec,
    /// Counters and gauges of the scheduler by name.
    pub scheduler: IntGaugeVec,
    /// Usage, maximum and share of each organisation by name.
    pub organisations: IntGaugeVec,
    /// Connections and bytes held for callers, and connections closed, by name.
    pub intake: IntGaugeVec,
}

impl Metrics {
    /// Creates all metrics at zero.
    ///
    /// # Panics
    ///
    /// Panics if a name is invalid or used twice, which is a programming error.
    pub fn new() -> Self {
        const BUCKETS_S: [f64; 10] = [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 3.0];
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("names are valid")
        };
        let call_seconds = HistogramOpts::new("galenaspool_call_seconds", "Time until a call was answered")
            .buckets(BUCKETS_S.to_vec());
        let scheduler = Opts::new(
            "galenaspool_scheduler",
            "Counters and gauges of the scheduler in this epoch",
        );
        let organisations = Opts::new(
            "galenaspool_organisation",
            "Usage, maximum, weight and share of each organisation as the scheduler of this epoch counts them",
        );
        let intake = Opts::new(
            "galenaspool_intake",
            "Connections and bytes held for callers, and connections closed by cause",
        );
        let metrics = Self {
            registry: Registry::new(),
            calls: counter(
                "galenaspool_calls_total",
                "Calls by method and status",
                &["method", "status"],
            ),
            call_seconds: Histogram::with_opts(call_seconds).expect("names are valid"),
            store_calls: counter(
                "galenaspool_store_calls_total",
                "Calls to the store by operation and outcome",
                &["operation", "outcome"],
            ),
            refusals: counter("galenaspool_refusals_total", "Refused calls by cause", &["cause"]),
            lease_changes: counter(
                "galenaspool_lease_changes_total",
                "Changes of the scheduling lease",
                &["kind"],
            ),
            intake: IntGaugeVec::new(intake, &["name"]).expect("names are valid"),
            scheduler: IntGaugeVec::new(scheduler, &["name"]).expect("names are valid"),
            organisations: IntGaugeVec::new(organisations, &["organisation", "name"]).expect("names are valid"),
        };
        let register = |collector: Box<dyn prometheus::core::Collector>| {
            metrics.registry.register(collector).expect("names are unique");
        };
        register(Box::new(metrics.calls.clone()));
        register(Box::new(metrics.call_seconds.clone()));
        register(Box::new(metrics.store_calls.clone()));
        register(Box::new(metrics.refusals.clone()));
        register(Box::new(metrics.lease_changes.clone()));
        register(Box::new(metrics.scheduler.clone()));
        register(Box::new(metrics.organisations.clone()));
        register(Box::new(metrics.intake.clone()));
        metrics
    }

    /// Sets a counter or gauge of the scheduler.
    pub fn set_scheduler(&self, name: &str, value: u64) {
        self.scheduler.with_label_values(&[name]).set(value as i64);
    }

    /// Sets the gauges of an organisation.
    pub fn set_organisation(&self, share: &OrganisationShare) {
        let set = |name: &str, value: u64| {
            let labels = [share.name.as_str(), name];
            self.organisations.with_label_values(&labels).set(value as i64);
        };
        set("used_cpu_milli", share.usage.cpu_milli);
        set("used_memory_mib", share.usage.memory_mib);
        set("used_accelerators", share.usage.accelerators);
        set("max_cpu_milli", share.maximum.cpu_milli);
        set("max_memory_mib", share.maximum.memory_mib);
        set("max_accelerators", share.maximum.accelerators);
        set("weight", share.weight);
        set("dominant_share_permille", share.dominant_share_permille);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            return format!("# metrics cannot be encoded: {error}\n");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
