use model::{ConfigVersion, DataCentreId};
use serde::{Deserialize, Serialize};

/// Reply to an operator who takes a data centre out or in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceChange {
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Whether work may start there after the change.
    pub in_service: bool,
    /// Version of the configuration that contains the change, or to which the local out applies.
    pub version: ConfigVersion,
    /// Whether the change is recorded or only local.
    pub state: ServiceState,
}

/// Whether a change of a data centre's service is recorded or only local.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// Written to the table; `/v1/config/status` shows when it is in force.
    Recorded,
    /// The store is unreachable; in force at this instance and, through heartbeats, at the others of its data centre.
    InForceLocally,
}
