/// Counters of a [`PlatformClient`](crate::PlatformClient) since it was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformClientStats {
    /// Writes sent to the table and the object store.
    pub writes: u64,
    /// Reads sent to the table, the object store and the list.
    pub reads: u64,
    /// Transactions whose condition did not hold.
    pub conflicts: u64,
    /// Writes whose reply was lost.
    pub unknown: u64,
    /// Requests that failed without effect: refused, not sent, or reads without a reply.
    pub unavailable: u64,
    /// Requests that the open circuit breaker or a full budget queue held back.
    pub held_back: u64,
    /// Times the circuit breaker opened.
    pub breaker_opened: u64,
    /// Times the connections were closed because one was silent.
    pub connections_replaced: u64,
    /// Whether the circuit breaker is open now.
    pub is_breaker_open: bool,
    /// Writes that wait for the budget now.
    pub writes_waiting: usize,
    /// Reads that wait for the budget now.
    pub reads_waiting: usize,
}
