use model::{DataCentreId, InstanceId, RackId, Resources, WorkerId};
use serde::{Deserialize, Serialize};

/// State of an instance or worker in the platform's list, which can be stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Live.
    Live,
    /// Draining; gets no new work.
    Leaving,
}

/// Worker in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// Worker.
    pub id: WorkerId,
    /// Base address of its HTTP interface, such as `http://127.0.0.1:7500`.
    pub address: String,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Region of the data centre.
    pub region: String,
    /// Rack.
    pub rack: RackId,
    /// Position in the rack; consecutive positions are physically adjacent.
    pub position: u16,
    /// Capacity.
    pub capacity: Resources,
    /// Maximum number of connections.
    pub connections: u16,
    /// State.
    pub state: ListedState,
}

/// Entry instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Instance.
    pub id: InstanceId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// State.
    pub state: ListedState,
}

/// The platform's list of workers and entry instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Workers.
    pub workers: Vec<ListedWorker>,
    /// Entry instances.
    pub entries: Vec<ListedInstance>,
}
