use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Clock with monotonic milliseconds since the start of the process, and Unix time for records.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    started_unix_ms: u64,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            started_unix_ms: unix_ms(),
        }
    }

    /// Returns monotonic milliseconds, starting at 1 so that 0 can mean "never".
    pub(crate) fn now_ms(self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }

    pub(crate) fn now_unix_ms(self) -> u64 {
        let _ = self;
        unix_ms()
    }

    /// Returns when the process started, which distinguishes the incarnations of an instance.
    pub(crate) const fn started_unix_ms(self) -> u64 {
        self.started_unix_ms
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
