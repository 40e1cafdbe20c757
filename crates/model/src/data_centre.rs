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
    /// Racks, sorted by position.
    pub racks: Vec<Rack>,
}

impl DataCentre {
    /// Returns all workers, by rack and then by position.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.racks.iter().flat_map(|rack| &rack.workers)
    }
}
