use std::time::Duration;

use compact_str::CompactString;
use domain::Limits;

/// Settings of an instance of a domain.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of this instance.
    pub instance: CompactString,
    /// Data centre of this instance.
    pub data_centre: CompactString,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Time after which a caller's revoked key must not work any more.
    pub revoke_ms: u64,
    /// Time from the request to stop until the process is killed.
    pub stop_grace_ms: u64,
    /// Whether a transaction of the store may span several parts.
    pub has_cross_part_txns: bool,
    /// Largest value of a row of the store.
    pub row_bytes: usize,
    /// Share of a core that the instance may use.
    pub cpu_share: f64,
    /// Silence of the holder after which another instance takes over.
    pub lease_ttl_ms: u64,
}

impl NodeSettings {
    /// Renewals within one time to live; two may be lost without a change of holder.
    const RENEWALS_PER_TTL: u64 = 3;

    /// Returns the interval of renewing the scheduling lease.
    pub const fn renew_interval(&self) -> Duration {
        Duration::from_millis(self.lease_ttl_ms / Self::RENEWALS_PER_TTL)
    }

    /// Returns the largest value that is written: a row may count its encoding, which takes a third more.
    pub const fn value_bytes_max(&self) -> usize {
        self.row_bytes * 3 / 4
    }

    /// Returns the extra time that a small instance leaves larger ones to take the lease over.
    pub fn takeover_delay_ms(&self) -> u64 {
        // Half a core schedules a thousand workers with room to spare; smaller instances come later.
        const AMPLE_CPU_SHARE: f64 = 0.5;
        const LONGEST_DELAY_MS: f64 = 200.0;
        ((1.0 - (self.cpu_share / AMPLE_CPU_SHARE).min(1.0)) * LONGEST_DELAY_MS) as u64
    }

    /// Returns the age of the configuration up to which keys are accepted: the bound less a fifth for the time between
    /// the check and the effect.
    pub const fn config_age_max_ms(&self) -> u64 {
        self.revoke_ms * 4 / 5
    }
}
