use std::net::SocketAddr;

use model::{DataCentreId, InstanceId};
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::{DomainSettings, IntakeSettings, PeerAddress, SettingsError};

/// Settings of an entry instance. Every key but the first five has a default.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Address of the HTTP interface for callers and operators.
    pub http_address: SocketAddr,
    /// Address of the gRPC interface for other instances.
    pub peer_address: SocketAddr,
    /// Base URL of the platform's service.
    pub platform_url: String,
    /// Other entry instances.
    #[serde(default)]
    pub peers: Vec<PeerAddress>,
    /// Interval of heartbeats between instances. Default 1,000 ms.
    #[serde(default = "defaults::heartbeat_interval_ms")]
    pub heartbeat_interval_ms: u64,
    /// Time without contact after which a peer is suspect and gets no forwarded requests. Default 3,000 ms.
    #[serde(default = "defaults::peer_suspect_ms")]
    pub peer_suspect_ms: u64,
    /// Time without contact after which a peer that the platform does not list as live is removed. Default 10,000 ms.
    #[serde(default = "defaults::peer_dead_ms")]
    pub peer_dead_ms: u64,
    /// Interval of polling the configuration row. At most 5 s, so that a configuration takes
    /// effect within 7 s by polling alone. Default 1,000 ms.
    #[serde(default = "defaults::config_poll_interval_ms")]
    pub config_poll_interval_ms: u64,
    /// Interval of polling the platform's list of workers and instances. Default 1,000 ms.
    #[serde(default = "defaults::listing_poll_interval_ms")]
    pub listing_poll_interval_ms: u64,
    /// Time to live of the scheduling lease. Default 2,000 ms.
    #[serde(default = "defaults::scheduling_lease_ttl_ms")]
    pub scheduling_lease_ttl_ms: u64,
    /// Renewal interval of the scheduling lease. Default 500 ms.
    #[serde(default = "defaults::scheduling_lease_renew_ms")]
    pub scheduling_lease_renew_ms: u64,
    /// Time to live of slot leases of running work and of grants. Default 5,000 ms.
    #[serde(default = "defaults::slot_lease_ttl_ms")]
    pub slot_lease_ttl_ms: u64,
    /// Time to live of slot leases between reservation and start. Default 2,000 ms.
    #[serde(default = "defaults::reserve_lease_ttl_ms")]
    pub reserve_lease_ttl_ms: u64,
    /// Renewal interval of the leases at a worker. Default 1,000 ms.
    #[serde(default = "defaults::worker_renew_interval_ms")]
    pub worker_renew_interval_ms: u64,
    /// Time-out after which an unanswered command to a worker counts as lost. Default 2,000 ms.
    #[serde(default = "defaults::worker_timeout_ms")]
    pub worker_timeout_ms: u64,
    /// Time without a reply after which a connection to a worker is closed. Default 4,000 ms.
    #[serde(default = "defaults::worker_silent_ms")]
    pub worker_silent_ms: u64,
    /// Time-out after which the outcome of an unanswered store request is unknown. Default 2,000 ms.
    #[serde(default = "defaults::store_timeout_ms")]
    pub store_timeout_ms: u64,
    /// Budget of store writes of this instance. Default 60 1/s.
    #[serde(default = "defaults::store_writes_per_s")]
    pub store_writes_per_s: u64,
    /// Budget of store reads of this instance. Default 300 1/s.
    #[serde(default = "defaults::store_reads_per_s")]
    pub store_reads_per_s: u64,
    /// Interval of writing batched attempt records. Default 25 ms.
    #[serde(default = "defaults::record_batch_interval_ms")]
    pub record_batch_interval_ms: u64,
    /// Number of granted slots that the instance requests. Default 8 slots.
    #[serde(default = "defaults::urgent_slots_per_instance")]
    pub urgent_slots_per_instance: u64,
    /// Deadline of urgent requests that state none. Default 2,000 ms.
    #[serde(default = "defaults::urgent_deadline_ms")]
    pub urgent_deadline_ms: u64,
    /// Longest time for which one request may wait for a result. Default 60,000 ms.
    #[serde(default = "defaults::max_wait_ms")]
    pub max_wait_ms: u64,
    /// Largest request body. Default 1,048,576 bytes.
    #[serde(default = "defaults::max_body_bytes")]
    pub max_body_bytes: u64,
    /// Most requests open at once; more are refused. Default 10,000 requests.
    #[serde(default = "defaults::max_open_requests")]
    pub max_open_requests: u64,
    /// Memory for the large payloads (over 4 KiB) of the jobs that the scheduler of a data centre keeps; 0 means
    /// an eighth of `intake.budget_bytes`. It is part of that budget. Default 0 bytes.
    #[serde(default)]
    pub payload_budget_bytes: u64,
    /// Time between failing readiness and closing the listener in a graceful shutdown. Default 2,000 ms.
    #[serde(default = "defaults::balancer_drain_ms")]
    pub balancer_drain_ms: u64,
    /// Longest time for which a graceful shutdown waits for open requests. Default 120,000 ms.
    #[serde(default = "defaults::stop_timeout_ms")]
    pub stop_timeout_ms: u64,
    /// Time without contact to the store and other data centres after which nothing starts; 0 means no limit.
    /// Default 0 ms.
    #[serde(default = "defaults::cut_off_start_limit_ms")]
    pub cut_off_start_limit_ms: u64,
    /// Number of newest timeline events kept in memory. Default 20,000 events.
    #[serde(default = "defaults::timeline_capacity_events")]
    pub timeline_capacity_events: u64,
    /// Limits on what callers may make the process hold.
    #[serde(default)]
    pub intake: IntakeSettings,
    /// Makes the process an instance of a scheduling domain on the users' platform.
    pub domain: Option<DomainSettings>,
}

impl Settings {
    /// Reads settings from JSON with comments and trailing commas, and checks them.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for the first key that is unknown, missing or out of range.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let parse_error = |message: String| SettingsError::Parse { message };
        let document: Map<String, Value> = json5::from_str(text).map_err(|error| parse_error(error.to_string()))?;
        for range in RANGES {
            range.check(&document)?;
        }
        if let Some(Value::Object(intake)) = document.get("intake") {
            for range in INTAKE_RANGES {
                range.check(intake)?;
            }
        }
        let settings: Self =
            serde_json::from_value(Value::Object(document)).map_err(|error| parse_error(error.to_string()))?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns the memory for the large payloads of the jobs that the scheduler of a data centre keeps.
    pub const fn payload_budget_bytes(&self) -> u64 {
        const BUDGET_DIVISOR: u64 = 8;
        if self.payload_budget_bytes > 0 {
            self.payload_budget_bytes
        } else {
            self.intake.budget_bytes() / BUDGET_DIVISOR
        }
    }

    /// Returns the part of the budget that callers have: all on the users' platform, where an instance has no listener for
    /// other instances and payloads are small.
    pub const fn caller_budget_bytes(&self) -> u64 {
        let budget_bytes = self.intake.budget_bytes();
        if self.domain.is_some() {
            return budget_bytes;
        }
        budget_bytes
            .saturating_sub(self.intake.peer_budget_bytes())
            .saturating_sub(self.payload_budget_bytes())
    }

    /// Checks the URL, the peers, the limit on connections and the budgets.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for the first setting that cannot be used.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if !self.platform_url.starts_with("http://") {
            return Err(SettingsError::InvalidUrl {
                key: "platform_url",
                value: self.platform_url.clone(),
            });
        }
        for (index, peer) in self.peers.iter().enumerate() {
            let listed_before = self.peers[..index].iter().any(|other| other.instance == peer.instance);
            if listed_before || peer.instance == self.instance {
                return Err(SettingsError::DuplicatePeer {
                    instance: peer.instance.clone(),
                });
            }
        }
        // A limit on connections above the descriptors would let callers take those of the process's own calls.
        let IntakeSettings {
            max_fds, reserved_fds, ..
        } = self.intake;
        let max_connections = max_fds.saturating_sub(reserved_fds);
        if self.intake.max_connections() == 0 || self.intake.max_connections() > max_connections {
            return Err(SettingsError::ConnectionsAboveDescriptors {
                max_connections: self.intake.max_connections(),
                max_fds,
                reserved_fds,
            });
        }
        self.validate_budgets()
    }

    /// Checks that a single body or message of the largest size fits into its budget.
    fn validate_budgets(&self) -> Result<(), SettingsError> {
        // The body as received, its decoded copies, and the request to the store.
        const BUDGET_BODIES: u64 = 5;
        let intake = &self.intake;
        let budget = |key, budget_bytes, needed_bytes| {
            if budget_bytes < needed_bytes {
                return Err(SettingsError::BudgetTooSmall {
                    key,
                    budget_bytes,
                    needed_bytes,
                });
            }
            Ok(())
        };
        let caller_budget_bytes = self.caller_budget_bytes();
        budget("budget_bytes", caller_budget_bytes, self.max_body_bytes * BUDGET_BODIES)?;
        if self.domain.is_some() {
            return Ok(());
        }
        let message_bytes = intake.peer_message_bytes(self.max_body_bytes);
        budget("peer_budget_bytes", intake.peer_budget_bytes(), message_bytes)
    }
}

/// Allowed range of a numeric key.
#[derive(Debug, Clone, Copy)]
struct Range {
    key: &'static str,
    min: u64,
    max: u64,
    unit: &'static str,
}

impl Range {
    const fn new(key: &'static str, min: u64, max: u64, unit: &'static str) -> Self {
        Self { key, min, max, unit }
    }

    /// Checks the value of the key if it is present; defaults are always in range.
    fn check(self, document: &Map<String, Value>) -> Result<(), SettingsError> {
        let Self { key, min, max, unit } = self;
        let Some(value) = document.get(key) else { return Ok(()) };
        match value.as_u64() {
            Some(number) if (min..=max).contains(&number) => Ok(()),
            _ => Err(SettingsError::OutOfRange {
                key,
                value: value.to_string(),
                min,
                max,
                unit,
            }),
        }
    }
}

const RANGES: &[Range] = &[
    Range::new("heartbeat_interval_ms", 50, 10_000, "ms"),
    Range::new("peer_suspect_ms", 100, 60_000, "ms"),
    Range::new("peer_dead_ms", 500, 600_000, "ms"),
    Range::new("config_poll_interval_ms", 50, 5_000, "ms"),
    Range::new("listing_poll_interval_ms", 50, 60_000, "ms"),
    Range::new("scheduling_lease_ttl_ms", 200, 60_000, "ms"),
    Range::new("scheduling_lease_renew_ms", 20, 30_000, "ms"),
    Range::new("slot_lease_ttl_ms", 500, 60_000, "ms"),
    Range::new("reserve_lease_ttl_ms", 200, 30_000, "ms"),
    Range::new("worker_renew_interval_ms", 50, 30_000, "ms"),
    Range::new("worker_timeout_ms", 100, 30_000, "ms"),
    Range::new("worker_silent_ms", 200, 60_000, "ms"),
    Range::new("store_timeout_ms", 100, 30_000, "ms"),
    Range::new("store_writes_per_s", 1, 1_000, "1/s"),
    Range::new("store_reads_per_s", 1, 5_000, "1/s"),
    Range::new("record_batch_interval_ms", 1, 10_000, "ms"),
    Range::new("urgent_slots_per_instance", 0, 100_000, "slots"),
    Range::new("urgent_deadline_ms", 10, 600_000, "ms"),
    Range::new("max_wait_ms", 100, 600_000, "ms"),
    Range::new("max_body_bytes", 1_024, 67_108_864, "bytes"),
    Range::new("max_open_requests", 1, 1_000_000, "requests"),
    Range::new("payload_budget_bytes", 0, 1 << 40, "bytes"),
    Range::new("balancer_drain_ms", 0, 60_000, "ms"),
    Range::new("stop_timeout_ms", 100, 3_600_000, "ms"),
    Range::new("cut_off_start_limit_ms", 0, 3_600_000, "ms"),
    Range::new("timeline_capacity_events", 0, 10_000_000, "events"),
];

/// Ranges of the keys under `intake`.
const INTAKE_RANGES: &[Range] = &[
    Range::new("memory_mb", 32, 1_048_576, "MiB"),
    Range::new("max_fds", 64, 10_485_760, "descriptors"),
    Range::new("reserved_fds", 16, 1_048_576, "descriptors"),
    Range::new("budget_bytes", 0, 1 << 40, "bytes"),
    Range::new("peer_budget_bytes", 0, 1 << 40, "bytes"),
    Range::new("peer_message_bytes", 0, 1 << 30, "bytes"),
    Range::new("max_peer_connections", 1, 100_000, "connections"),
    Range::new("max_connections", 0, 1_000_000, "connections"),
    Range::new("header_bytes", 1_024, 65_536, "bytes"),
    Range::new("header_timeout_ms", 100, 600_000, "ms"),
    Range::new("body_timeout_ms", 100, 600_000, "ms"),
    Range::new("body_min_bytes_per_s", 1, 1_048_576, "bytes/s"),
    Range::new("idle_timeout_ms", 100, 600_000, "ms"),
    Range::new("write_timeout_ms", 100, 600_000, "ms"),
    Range::new("linger_timeout_ms", 10, 60_000, "ms"),
    Range::new("linger_bytes", 0, 67_108_864, "bytes"),
];

mod defaults {
    pub(super) const fn heartbeat_interval_ms() -> u64 {
        1_000
    }
    pub(super) const fn peer_suspect_ms() -> u64 {
        3_000
    }
    pub(super) const fn peer_dead_ms() -> u64 {
        10_000
    }
    pub(super) const fn config_poll_interval_ms() -> u64 {
        1_000
    }
    pub(super) const fn listing_poll_interval_ms() -> u64 {
        1_000
    }
    pub(super) const fn scheduling_lease_ttl_ms() -> u64 {
        2_000
    }
    pub(super) const fn scheduling_lease_renew_ms() -> u64 {
        500
    }
    pub(super) const fn slot_lease_ttl_ms() -> u64 {
        5_000
    }
    pub(super) const fn reserve_lease_ttl_ms() -> u64 {
        2_000
    }
    pub(super) const fn worker_renew_interval_ms() -> u64 {
        1_000
    }
    pub(super) const fn worker_timeout_ms() -> u64 {
        2_000
    }
    pub(super) const fn worker_silent_ms() -> u64 {
        4_000
    }
    pub(super) const fn store_timeout_ms() -> u64 {
        2_000
    }
    pub(super) const fn store_writes_per_s() -> u64 {
        60
    }
    pub(super) const fn store_reads_per_s() -> u64 {
        300
    }
    pub(super) const fn record_batch_interval_ms() -> u64 {
        25
    }
    pub(super) const fn urgent_slots_per_instance() -> u64 {
        8
    }
    pub(super) const fn urgent_deadline_ms() -> u64 {
        2_000
    }
    pub(super) const fn max_wait_ms() -> u64 {
        60_000
    }
    pub(super) const fn max_body_bytes() -> u64 {
        1_048_576
    }
    pub(super) const fn max_open_requests() -> u64 {
        10_000
    }
    pub(super) const fn balancer_drain_ms() -> u64 {
        2_000
    }
    pub(super) const fn stop_timeout_ms() -> u64 {
        120_000
    }
    pub(super) const fn cut_off_start_limit_ms() -> u64 {
        0
    }
    pub(super) const fn timeline_capacity_events() -> u64 {
        20_000
    }
}
