use std::net::SocketAddr;

use serde::Deserialize;

/// Settings of an instance of a scheduling domain. All limits come from the deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSettings {
    /// Listen address for readiness and metrics.
    pub ready_address: SocketAddr,
    /// Address of the machine management interface; empty if there is none.
    #[serde(default)]
    pub machines_address: String,
    /// Address of the placement hint service; empty if there is none.
    #[serde(default)]
    pub advice_address: String,
    /// Whether a transaction of the store may span several parts.
    pub has_cross_part_txns: bool,
    /// Largest value of a store row.
    pub row_bytes: u64,
    /// Share of a core that the process may use.
    pub cpu_share: f64,
    /// Longest lease that a worker grants.
    pub lease_max_ms: u64,
    /// Longest time that a worker takes to stop a run.
    pub stop_grace_ms: u64,
    /// Time after which a member of a gang gives up waiting for the others.
    pub gang_wait_ms: u64,
    /// Factor by which the run time grows away from the data or across racks.
    pub remote_factor: f64,
    /// Time within which guaranteed work must have started.
    pub reclaim_ms: u64,
    /// Whether waiting work is ordered, and victims of preemption are chosen, by what the delay costs callers when
    /// capacity is insufficient.
    #[serde(default)]
    pub weighs_delays: bool,
    /// Time after which a revoked key must be rejected.
    pub revoke_ms: u64,
    /// Time without disruption after which time limits hold for an instance.
    pub contact_ms: u64,
    /// Least time for which callers can query a finished job.
    pub status_s: f64,
    /// Time between the stop signal and the kill.
    pub process_grace_s: f64,
}
