use conf::{DomainSettings, Settings};
use domain::Limits;
use node::NodeSettings;

/// Silence of the holder until it is replaced, as a part of the time within which an instance counts as disturbed.
/// A second takeover still fits into that time if the first successor fails as well.
const LEASE_PART_OF_CONTACT: u64 = 3;

/// Time for which a holder goes on without the store, as parts of the longest lease. Longer bridges longer outages;
/// it also delays the restart of work on workers that a successor cannot reach.
const HOLDOVER_OF_LEASE: (u64, u64) = (2, 3);

/// Multiple of the time for which callers may ask for a final job after which its rows go. A repeated submission that
/// comes later than that would be a new job; callers repeat within seconds.
const KEEP_OF_STATUS: u64 = 5;

/// Derives the settings of the node from those of the deployment.
pub(crate) fn node_settings(settings: &Settings, domain: &DomainSettings) -> NodeSettings {
    let (part, whole) = HOLDOVER_OF_LEASE;
    NodeSettings {
        instance: settings.instance.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
        limits: Limits {
            lease_max_ms: domain.lease_max_ms,
            stop_grace_ms: domain.stop_grace_ms,
            gang_wait_ms: domain.gang_wait_ms,
            store_grace_ms: domain.lease_max_ms * part / whole,
            remote_factor: domain.remote_factor,
            reclaim_ms: domain.reclaim_ms,
            keep_finished_ms: (domain.status_s * 1_000.0) as u64 * KEEP_OF_STATUS,
        },
        revoke_ms: domain.revoke_ms,
        stop_grace_ms: (domain.process_grace_s * 1_000.0) as u64,
        has_cross_part_txns: domain.has_cross_part_txns,
        row_bytes: domain.row_bytes as usize,
        cpu_share: domain.cpu_share,
        lease_ttl_ms: domain.contact_ms / LEASE_PART_OF_CONTACT,
    }
}
