use serde::{Deserialize, Serialize};

use crate::{DataCentreId, Epoch, InstanceId};

/// Row `sched/{data_centre}` that records the holder of a data centre's scheduling lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulingLease {
    /// Instance that holds the lease.
    pub holder: InstanceId,
    /// Epoch of this lease holder.
    pub epoch: Epoch,
    /// Number of renewals; a change shows readers that the lease holder is alive, without comparing clocks.
    pub renewal: u64,
    /// Time to live in milliseconds, measured by each reader from when it saw `renewal` change.
    pub ttl_ms: u64,
    /// Whether the lease holder released the lease in a planned shutdown.
    #[serde(default)]
    pub released: bool,
}

impl SchedulingLease {
    /// Returns the key of the row of `data_centre`.
    pub fn key_of(data_centre: &DataCentreId) -> String {
        format!("sched/{data_centre}")
    }
}
