use serde::{Deserialize, Serialize};

use crate::{RackId, Worker};

/// Rack of workers that share a switch and therefore form one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rack {
    /// Name of the rack within its data centre.
    pub id: RackId,
    /// Workers, sorted by position; consecutive workers are physically adjacent.
    pub workers: Vec<Worker>,
}
