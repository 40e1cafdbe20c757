/// Counters of a [`WorkerClient`](crate::WorkerClient) since it was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerClientStats {
    /// Requests, including repeated ones.
    pub requests: u64,
    /// Refusals by workers.
    pub refused: u64,
    /// Requests that were not sent.
    pub not_sent: u64,
    /// Requests whose reply was lost.
    pub lost: u64,
    /// Number of times the connections to an address were closed because one was unresponsive.
    pub connections_replaced: u64,
}
