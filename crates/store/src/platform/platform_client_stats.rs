/// Counters of a [`PlatformClient`](crate::PlatformClient) since it was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformClientStats {
    /// Writes sent to the table and the object store.
    pub writes: u64,
    /// Reads sent to the table, the object store and the instance list.
    pub reads: u64,
    /// Transactions whose condition did not hold.
    pub conflicts: u64,
    /// Writes whose reply was lost.
    pub unknown: u64,
    /// Requests that failed without effect: refused, not sent, or reads without a reply.
    pub unavailable: u64,
    /// Requests rejected unsent by the open circuit breaker or the rate limiter.
    pub held_back: u64,
    /// Number of times the circuit breaker opened.
    pub breaker_opened: u64,
    /// Number of times all connections were closed because one was unresponsive.
    pub connections_replaced: u64,
    /// Whether the circuit breaker is currently open.
    pub is_breaker_open: bool,
    /// Writes currently waiting for the rate limiter.
    pub writes_waiting: usize,
    /// Reads currently waiting for the rate limiter.
    pub reads_waiting: usize,
}
