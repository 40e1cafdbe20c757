use serde::{Deserialize, Serialize};

use crate::{Resources, WorkerId};

/// Backend server that runs tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name of the worker.
    pub id: WorkerId,
    /// Capacity of the worker.
    pub capacity: Resources,
    /// Maximum number of connections that the worker accepts.
    pub connections: u16,
}
