use model::Charge;
use serde::{Deserialize, Serialize};
use trace::Record;

use super::JobStatus;

/// Full record of a job: its row, its charges, and its events in the timelines of the live instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// State with all attempts.
    pub job: JobStatus,
    /// Charges, sorted by attempt.
    pub charges: Vec<Charge>,
    /// Events, sorted by time; older ones may have been dropped from the timelines.
    pub events: Vec<Record>,
}
