use std::time::Duration;

use compact_str::CompactString;
use domain::Limits;

/// Settings of an instance of a scheduling domain.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of this instance.
    pub instance: CompactString,
    /// Data centre of this instance.
    pub data_centre: CompactString,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Time after which a caller's revoked key must be refused.
    pub revoke_ms: u64,
    /// Time from the stop request until the process is killed.
    pub stop_grace_ms: u64,
    /// Whether a transaction of the store may span several parts.
    pub has_cross_part_txns: bool,
    /// CPU share of the instance, in cores.
    pub cpu_share: f64,
    /// Time without a renewal after which another instance takes the lease over.
    pub lease_ttl_ms: u64,
}

impl NodeSettings {
    /// Renewals within one time to live; two may be lost without a takeover.
    const RENEWALS_PER_TTL: u64 = 3;

    /// Returns the interval at which the scheduling lease is renewed.
    pub const fn renew_interval(&self) -> Duration {
        Duration::from_millis(self.lease_ttl_ms / Self::RENEWALS_PER_TTL)
    }

    /// Returns the time from a renewal for which no other instance can have taken the lease over, whose clock may run
    /// faster.
    pub fn lease_certain_ms(&self) -> u64 {
        (self.lease_ttl_ms as f64 * (1.0 - Limits::CLOCK_DRIFT)) as u64
    }

    /// Returns the delay by which a small instance lets larger ones take the lease over first.
    pub fn takeover_delay_ms(&self) -> u64 {
        // Half a core is more than enough to schedule a thousand workers; smaller instances wait longer.
        const SUFFICIENT_CPU_SHARE: f64 = 0.5;
        const MAX_DELAY_MS: f64 = 200.0;
        ((1.0 - (self.cpu_share / SUFFICIENT_CPU_SHARE).min(1.0)) * MAX_DELAY_MS) as u64
    }

    /// Returns the CPU share in thousandths of a core.
    pub fn cpu_milli(&self) -> u64 {
        (self.cpu_share * 1_000.0) as u64
    }

    /// Returns whether an instance with the given CPU share should hand the lease over to this one, which is worth a
    /// takeover only if it has much more.
    pub fn is_much_larger_than(&self, holder_cpu_milli: u64) -> bool {
        const MIN_RATIO: u64 = 2;
        holder_cpu_milli > 0 && self.takeover_delay_ms() == 0 && self.cpu_milli() >= holder_cpu_milli * MIN_RATIO
    }

    /// Returns the maximum age of the configuration for keys to be accepted: `revoke_ms` less a fifth for the time
    /// between the check and its effect.
    pub const fn config_age_max_ms(&self) -> u64 {
        self.revoke_ms * 4 / 5
    }
}
