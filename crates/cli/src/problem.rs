use serde::{Deserialize, Serialize};

/// Problem details (RFC 9457) as an entry instance returns them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable machine-readable code.
    #[serde(default)]
    pub code: String,
    /// Short summary.
    #[serde(default)]
    pub title: String,
    /// HTTP status.
    #[serde(default)]
    pub status: u16,
    /// What went wrong and what to do.
    #[serde(default)]
    pub detail: String,
    /// Whether the work certainly did not run.
    #[serde(default)]
    pub did_not_run: Option<bool>,
    /// When a retry makes sense, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}
