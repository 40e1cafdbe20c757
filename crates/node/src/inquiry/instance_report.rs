use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What an instance believes about itself and its surroundings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Instance.
    pub instance: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Whether it lets callers in.
    pub is_ready: bool,
    /// Whether it is being stopped.
    pub is_stopping: bool,
    /// Instance that holds the scheduling lease; empty if none is known.
    pub holder: CompactString,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Version of the configuration in force; `None` before the first.
    pub config_version: Option<u64>,
    /// Age of the proof that this is the newest configuration.
    pub config_age_ms: u64,
    /// Time since the newest reply of the store.
    pub store_heard_ms_ago: u64,
    /// Data centres that are out of service.
    pub out_of_service: Vec<CompactString>,
}
