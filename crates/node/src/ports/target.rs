use compact_str::CompactString;

/// Where an order goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// IP address and port.
    pub address: CompactString,
    /// Id of the incarnation that the order is meant for.
    pub worker: CompactString,
    /// Epoch of the scheduler.
    pub epoch: u64,
}
