use model::{DataCentreId, RackId, WorkerId};
use serde::{Deserialize, Serialize};

use crate::WorkerFaults;

/// Request `POST /v1/faults` to the workers: replaces the faults of the selected workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaultRequest {
    /// Selected workers. If no worker, rack or data centre is named, all are selected.
    pub workers: Vec<WorkerId>,
    /// Selected racks.
    pub racks: Vec<RackId>,
    /// Selected data centres.
    pub data_centres: Vec<DataCentreId>,
    /// Faults that last until replaced; the default clears all.
    pub faults: WorkerFaults,
    /// Whether the selected workers are killed: they lose leases, tasks, epoch and usage.
    pub kill: bool,
    /// How long killed workers stay down, in milliseconds. Meanwhile they refuse commands with status 503.
    pub down_ms: u64,
}

impl WorkerFaultRequest {
    /// Returns whether the request selects this worker.
    pub fn selects(&self, worker: &WorkerId, rack: &RackId, data_centre: &DataCentreId) -> bool {
        let selects_all = self.workers.is_empty() && self.racks.is_empty() && self.data_centres.is_empty();
        selects_all
            || self.workers.contains(worker)
            || self.racks.contains(rack)
            || self.data_centres.contains(data_centre)
    }
}
