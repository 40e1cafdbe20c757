use std::time::{SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Returns milliseconds since boot, including time spent suspended.
///
/// Lease times use this clock: `CLOCK_MONOTONIC` stops while the machine is suspended, so a lease holder would take an
/// expired lease for a valid one.
pub fn boot_ms() -> u64 {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |time| {
        time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000
    })
}

/// Returns the Unix time in milliseconds. The system clock may jump.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
