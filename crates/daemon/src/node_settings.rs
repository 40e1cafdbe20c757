use conf::{DomainSettings, Settings};
use domain::Limits;
use node::NodeSettings;

/// Divisor of `contact_ms`, the time within which an instance counts as disturbed, that gives the time to live of the
/// scheduling lease. A second takeover still fits into that time if the first successor fails as well.
const LEASE_TTL_DIVISOR: u64 = 3;

/// Store grace period as a fraction of the longest lease: time for which a lease holder continues without the store. A
/// larger fraction bridges longer outages, but delays the restart of work on workers that a successor cannot reach.
const STORE_GRACE_FRACTION: (u64, u64) = (2, 3);

/// Maximum age of the list of workers and of the feed of jobs for new starts as a fraction of `contact_ms`, the time within
/// which a capacity that has shrunk and a cancellation must be respected. The rest is for the way of a start command, which
/// is tried three times.
const FEED_AGE_FRACTION: (u64, u64) = (4, 5);

/// Retention of a final job's rows, as a multiple of the time for which callers may query the job. A repeated submission
/// that arrives later would be a new job; callers repeat within seconds.
const RETENTION_FACTOR: u64 = 5;

/// Derives the settings of the node from those of the deployment.
pub(crate) fn node_settings(settings: &Settings, domain: &DomainSettings) -> NodeSettings {
    let (numerator, denominator) = STORE_GRACE_FRACTION;
    let (numerator_of_age, denominator_of_age) = FEED_AGE_FRACTION;
    let feed_age_max_ms = domain.contact_ms * numerator_of_age / denominator_of_age;
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
            worker_list_age_max_ms: feed_age_max_ms,
            jobs_age_max_ms: feed_age_max_ms,
            keep_finished_ms: (domain.status_s * 1_000.0) as u64 * RETENTION_FACTOR,
            weighs_delays: domain.weighs_delays,
            // The store counts the encoded size, a third larger.
            value_bytes_max: domain.row_bytes as usize * 3 / 4,
        },
        revoke_ms: domain.revoke_ms,
        stop_grace_ms: (domain.process_grace_s * 1_000.0) as u64,
        has_cross_part_txns: domain.has_cross_part_txns,
        cpu_share: domain.cpu_share,
        lease_ttl_ms: domain.contact_ms / LEASE_TTL_DIVISOR,
    }
}
