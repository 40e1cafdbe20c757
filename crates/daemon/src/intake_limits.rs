use conf::Settings;
use intake::Limits;

/// Derives the limits on callers from the settings.
pub(crate) fn intake_limits(settings: &Settings) -> Limits {
    let intake = &settings.intake;
    Limits {
        budget_bytes: intake.budget_bytes(),
        max_connections: intake.max_connections() as usize,
        header_bytes: intake.header_bytes,
        header_timeout_ms: intake.header_timeout_ms,
        body_timeout_ms: intake.body_timeout_ms,
        body_min_bytes_per_s: intake.body_min_bytes_per_s,
        idle_timeout_ms: intake.idle_timeout_ms,
        write_timeout_ms: intake.write_timeout_ms,
        linger_timeout_ms: intake.linger_timeout_ms,
        linger_bytes: intake.linger_bytes,
    }
}
