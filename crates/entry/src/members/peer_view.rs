use model::{ConfigVersion, DataCentreId, Epoch, InstanceId};
use serde::{Deserialize, Serialize};

/// State of an instance as known to this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerView {
    /// Instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Whether it is live.
    pub status: PeerStatus,
    /// Age of this state in milliseconds.
    pub age_ms: u64,
    /// Version of the configuration in force there.
    pub config_version: ConfigVersion,
    /// Start of the process in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// Sequence number of the heartbeat with this state.
    pub heartbeat: u64,
    /// Whether it is in a planned stop.
    pub stopping: bool,
    /// Whether it reaches the store.
    pub store_reachable: bool,
    /// Data centre that it schedules, with the epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scheduler_of: Option<(DataCentreId, Epoch)>,
    /// Granted slots that it holds.
    pub granted_slots: u32,
    /// Granted slots in use.
    pub busy_slots: u32,
    /// Whether operators took its data centre out through it while the store was unreachable.
    pub local_out: bool,
    /// Free accelerators of the data centre that it schedules.
    pub free_accelerators: u32,
}

/// Liveness of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerStatus {
    /// Its last heartbeat is recent.
    Live,
    /// Unresponsive; gets no forwarded requests.
    Suspect,
    /// Unresponsive for long and not listed as live by the platform, or no heartbeat received yet.
    #[default]
    Dead,
}

impl PeerView {
    /// Returns whether requests may be forwarded to the instance.
    pub fn takes_requests(&self) -> bool {
        self.status == PeerStatus::Live && !self.stopping
    }
}
