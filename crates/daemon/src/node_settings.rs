use conf::{DomainSettings, Settings};
use domain::Limits;
use node::NodeSettings;

/// Divisor of the contact time, within which an instance counts as disturbed; the quotient is the time to live of the
/// scheduling lease, after which an unresponsive lease holder is replaced. A second takeover still fits into the
/// contact time if the first successor fails as well.
const CONTACT_PER_LEASE_TTL: u64 = 3;

/// Store grace period as a fraction (numerator, denominator) of the longest lease. A longer period bridges longer
/// outages, but also delays the restart of work on workers that a successor cannot reach.
const STORE_GRACE_PER_LEASE: (u64, u64) = (2, 3);

/// Retention of the rows of a final job, as a multiple of the time for which callers may query it. A repeated
/// submission after that time would be a new job; callers repeat within seconds.
const RETENTION_PER_STATUS_TIME: u64 = 5;

/// Derives the settings of the node from those of the deployment.
pub(crate) fn node_settings(settings: &Settings, domain: &DomainSettings) -> NodeSettings {
    let (numerator, denominator) = STORE_GRACE_PER_LEASE;
    NodeSettings {
        instance: settings.instance.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
        limits: Limits {
            lease_max_ms: domain.lease_max_ms,
            stop_grace_ms: domain.stop_grace_ms,
            gang_wait_ms: domain.gang_wait_ms,
            store_grace_ms: domain.lease_max_ms * numerator / denominator,
            remote_factor: domain.remote_factor,
            reclaim_ms: domain.reclaim_ms,
            keep_finished_ms: (domain.status_s * 1_000.0) as u64 * RETENTION_PER_STATUS_TIME,
        },
        revoke_ms: domain.revoke_ms,
        stop_grace_ms: (domain.process_grace_s * 1_000.0) as u64,
        has_cross_part_txns: domain.has_cross_part_txns,
        row_bytes: domain.row_bytes as usize,
        cpu_share: domain.cpu_share,
        lease_ttl_ms: domain.contact_ms / CONTACT_PER_LEASE_TTL,
    }
}
