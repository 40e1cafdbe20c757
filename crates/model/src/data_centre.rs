use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{DataCentreId, Rack, Worker};

/// Data centre with its racks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Name of the data centre.
    pub id: DataCentreId,
    /// Region that the data centre is in.
    pub region: CompactString,
    /// Racks in order of their position.
    pub racks: Vec<Rack>,
}

impl DataCentre {
    /// Returns all workers in order of rack and position.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.racks.iter().flat_map(|rack| &rack.workers)
    }
}
