use compact_str::CompactString;
use model::{Config, ConfigVersion};
use serde::{Deserialize, Serialize};

/// Problem details of an error reply, as RFC 9457 describes them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// URN of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short title.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Stable machine-readable code.
    pub code: CompactString,
    /// What happened and how to proceed.
    pub detail: String,
    /// Whether the error proves that nothing ran and nothing was changed.
    pub did_not_run: bool,
    /// Time after which to retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Version that a rejected change was based on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub based_on_version: Option<ConfigVersion>,
    /// Version of the configuration in the table.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<ConfigVersion>,
    /// Configuration in the table.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_config: Option<Box<Config>>,
}

impl Problem {
    /// Media type of problem details.
    pub const CONTENT_TYPE: &'static str = "application/problem+json";
}
