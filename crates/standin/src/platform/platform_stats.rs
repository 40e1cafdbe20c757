use serde::{Deserialize, Serialize};

/// Counters of the platform, as `GET /v1/stats` returns them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Writes that arrived.
    pub writes: u64,
    /// Reads that arrived.
    pub reads: u64,
    /// Requests over the rate limit.
    pub over_limit: u64,
    /// Transactions whose condition did not hold.
    pub conflicts: u64,
    /// Writes that took effect and whose reply a fault dropped.
    pub lost: u64,
    /// Arrival times of the latest writes, in milliseconds since the start; at most [`PlatformStats::MAX_ARRIVALS`].
    pub write_arrivals_ms: Vec<u64>,
}

impl PlatformStats {
    /// Maximum number of arrival times kept.
    pub const MAX_ARRIVALS: usize = 8192;

    /// Returns the highest number of writes that arrived within any window of `window_ms`.
    pub fn peak_writes(&self, window_ms: u64) -> usize {
        let arrivals = &self.write_arrivals_ms;
        (0..arrivals.len())
            .map(|first| arrivals.partition_point(|at| *at < arrivals[first] + window_ms) - first)
            .max()
            .unwrap_or(0)
    }
}
