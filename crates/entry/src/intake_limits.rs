use conf::Settings;
use intake::{Limits, PeerLimits};

/// Derives the limits on callers from the settings.
pub const fn intake_limits(settings: &Settings) -> Limits {
    let budget_bytes = settings.caller_budget_bytes();
    let settings = &settings.intake;
    Limits {
        budget_bytes,
        max_connections: settings.max_connections() as usize,
        header_bytes: settings.header_bytes,
        header_timeout_ms: settings.header_timeout_ms,
        body_timeout_ms: settings.body_timeout_ms,
        body_min_bytes_per_s: settings.body_min_bytes_per_s,
        idle_timeout_ms: settings.idle_timeout_ms,
        write_timeout_ms: settings.write_timeout_ms,
        linger_timeout_ms: settings.linger_timeout_ms,
        linger_bytes: settings.linger_bytes,
    }
}

/// Derives the limits on other instances from the settings.
pub(crate) fn peer_limits(settings: &Settings) -> PeerLimits {
    /// Heartbeats that an instance may miss before its connection counts as idle.
    const MISSED_HEARTBEATS: u64 = 3;
    let intake = &settings.intake;
    PeerLimits {
        budget_bytes: intake.peer_budget_bytes(),
        max_connections: intake.max_peer_connections as usize,
        idle_timeout_ms: intake
            .idle_timeout_ms
            .max(settings.heartbeat_interval_ms * MISSED_HEARTBEATS),
        write_timeout_ms: intake.write_timeout_ms,
    }
}
