use compact_str::CompactString;

/// Destination of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// IP address and port.
    pub address: CompactString,
    /// Id of the worker incarnation that the command is meant for.
    pub worker: CompactString,
    /// Epoch of the scheduler.
    pub epoch: u64,
}
