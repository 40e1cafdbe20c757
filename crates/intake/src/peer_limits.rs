/// Limits on the connections of other instances, each of which carries many requests at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// Bytes held for requests and unread replies over all connections.
    pub budget_bytes: u64,
    /// Open connections.
    pub max_connections: usize,
    /// Time without a request on an open connection.
    pub idle_timeout_ms: u64,
    /// Time in which no part of a waiting reply is read.
    pub write_timeout_ms: u64,
}

impl PeerLimits {
    /// Bytes charged for an open connection: the buffers of the HTTP/2 library and its state.
    pub const CONNECTION_BYTES: u64 = 32 * 1_024;

    /// Bytes charged for an open request: its task and its state in the HTTP/2 library.
    pub const REQUEST_BYTES: u64 = 4 * 1_024;
}
