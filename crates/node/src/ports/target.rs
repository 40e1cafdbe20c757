use compact_str::CompactString;

/// Destination of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// IP address and port.
    pub address: CompactString,
    /// Id of the worker incarnation that the command is meant for.
    pub worker: CompactString,
    /// Start of the process in ms since 1970, as it last reported; a process that restarts keeps its id.
    pub process_started_unix_ms: Option<u64>,
    /// Epoch of the scheduler.
    pub epoch: u64,
}
