use compact_str::CompactString;

/// Destination, sender and deadline of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRequest {
    /// Host that the request names.
    pub host: CompactString,
    /// Path, which selects the queue and may end with a job id.
    pub path: CompactString,
    /// API key of the caller.
    pub key: Option<CompactString>,
    /// Time that the caller waits for the reply.
    pub deadline_ms: Option<u64>,
}
