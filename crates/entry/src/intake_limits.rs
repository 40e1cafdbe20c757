use conf::IntakeSettings;
use intake::Limits;

/// Derives the limits on callers from the settings.
pub const fn intake_limits(settings: &IntakeSettings) -> Limits {
    Limits {
        budget_bytes: settings.budget_bytes(),
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
