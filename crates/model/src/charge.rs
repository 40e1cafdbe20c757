use serde::{Deserialize, Serialize};

use crate::{DataCentreId, JobId, LeaseId, WorkerId};

/// Ledger entry for one attempt, stored under `charge/{organisation}/{request}/{attempt}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charge {
    /// Job that is charged.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Data centre that ran the attempt.
    pub data_centre: DataCentreId,
    /// Workers and leases that ran the parts.
    pub leases: Vec<(WorkerId, LeaseId)>,
    /// Accelerator time used, in milliseconds, summed over all parts.
    pub accelerator_ms: u64,
    /// Whether the worker's usage report has confirmed the accelerator time.
    pub confirmed: bool,
}

impl Charge {
    /// Returns the key of the entry in the platform's table.
    pub fn key(&self) -> String {
        format!("charge/{}/{}", self.job, self.attempt)
    }
}
