/// Limits of a process, over all its listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes held for requests over all connections, with the buffers of the HTTP library.
    pub budget_bytes: u64,
    /// Open connections.
    pub max_connections: usize,
    /// Size of a request head.
    pub header_bytes: u64,
    /// Time from the first byte of a head to its end.
    pub header_timeout_ms: u64,
    /// Time for a body.
    pub body_timeout_ms: u64,
    /// Least rate of a body after [`Limits::BODY_GRACE_MS`].
    pub body_min_bytes_per_s: u64,
    /// Time without a request on an open connection.
    pub idle_timeout_ms: u64,
    /// Time for which a reply waits for its reader.
    pub write_timeout_ms: u64,
    /// Time for which the rest of a refused body is read.
    pub linger_timeout_ms: u64,
    /// Bytes of a refused body that are read.
    pub linger_bytes: u64,
}

impl Limits {
    /// Time from the start of a body after which its least rate applies.
    pub const BODY_GRACE_MS: u64 = 3_000;

    /// Bytes charged for an open connection without a request: the read and write buffers of the HTTP library, of 8 KiB
    /// each, its queue of chunks, and its state.
    pub const CONNECTION_BYTES: u64 = 32 * 1_024;

    /// Bytes that a connection reads before other tasks run. The HTTP library parses after each turn. It queues 32 bytes
    /// for each chunk, at least 6 bytes on the wire, and keeps the capacity of the queue: 4 KiB bound it to 32 KiB.
    pub const TURN_BYTES: u64 = 4 * 1_024;

    /// Ends of heads after which a connection reads no further before its first request is handled. The HTTP library
    /// parses all heads that it has read and keeps some KiB for each, however short it is.
    pub const TURN_HEADS: usize = 2;

    /// Time after which a reply that was not read makes room for a new connection at the limit on connections.
    pub const UNREAD_REPLY_MS: u64 = 1_000;

    /// Size up to which a request counts as ordinary and is not dropped for the budget while larger ones exist.
    pub const ORDINARY_BYTES: u64 = 32 * 1_024;
}
