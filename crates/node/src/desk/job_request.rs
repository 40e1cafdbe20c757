use compact_str::CompactString;

/// Call of a caller: where it goes and who sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobRequest {
    /// Host that the call names.
    pub host: CompactString,
    /// Path.
    pub path: CompactString,
    /// Key of the caller.
    pub key: Option<CompactString>,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
}
