use serde::{Deserialize, Serialize};

use crate::{Resources, WorkerId};

/// Back end that runs tasks; also called backend server by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name of the worker.
    pub id: WorkerId,
    /// Capacity of the worker.
    pub capacity: Resources,
    /// Most connections that the worker accepts.
    pub connections: u16,
}
