use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Local state of an instance as reported to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Name of the instance.
    pub instance: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Whether it is ready for callers' requests.
    pub is_ready: bool,
    /// Whether it is being stopped.
    pub is_stopping: bool,
    /// Instance that holds the scheduling lease; empty if none is known.
    pub holder: CompactString,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Version of the configuration in force; `None` before the first.
    pub config_version: Option<u64>,
    /// Time since the configuration was last confirmed to be the newest.
    pub config_age_ms: u64,
    /// Time since the last reply of the store.
    pub store_heard_ms_ago: u64,
    /// Data centres that are out of service.
    pub out_of_service: Vec<CompactString>,
}
