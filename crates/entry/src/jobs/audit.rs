use model::Charge;
use serde::{Deserialize, Serialize};
use trace::Record;

use super::JobStatus;

/// Everything that is known of a job: its row, its charges, and its events in the timelines of the live instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// State with all attempts.
    pub job: JobStatus,
    /// Charges in order of the attempts.
    pub charges: Vec<Charge>,
    /// Events in order of time; older ones may have left the timelines.
    pub events: Vec<Record>,
}
