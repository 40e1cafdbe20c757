use serde::{Deserialize, Serialize};

use crate::{RackId, Worker};

/// Rack of workers; shares a switch, so it fails as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rack {
    /// Name of the rack within its data centre.
    pub id: RackId,
    /// Workers in order of their position; neighbours are adjacent.
    pub workers: Vec<Worker>,
}
