use crate::Cause;

/// Log of closed connections, with at most one line per second for each cause.
#[derive(Debug, Default)]
pub(crate) struct ClosedLog {
    /// Per cause: time of the last line, and the count that it showed.
    logged: [(Option<u64>, u64); Cause::ALL.len()],
}

impl ClosedLog {
    /// Least time between two lines of one cause.
    const INTERVAL_MS: u64 = 1_000;

    /// Logs the causes whose counts have risen.
    pub(crate) fn update(
        &mut self,
        now_ms: u64,
        listener: &str,
        (connections, held_bytes): (usize, u64),
        closed: impl Fn(Cause) -> u64,
    ) {
        for cause in Cause::ALL {
            let (logged_ms, shown) = &mut self.logged[cause as usize];
            let is_due = logged_ms.is_none_or(|at_ms| now_ms >= at_ms + Self::INTERVAL_MS);
            let closed = closed(cause);
            if closed > *shown && is_due {
                let (count, cause) = (closed - *shown, cause.name());
                spdlog::warn!("connections_closed", kv: { listener, cause, count, connections, held_bytes });
                (*logged_ms, *shown) = (Some(now_ms), closed);
            }
        }
    }
}
