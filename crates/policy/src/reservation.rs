use crate::amount::Amount;
use crate::arrange::Arrangement;
use crate::{JobKey, WorkerKey};

/// Capacity that is reserved for a waiting wide job until all of it is free.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub job: JobKey,
    pub workers: Arrangement<WorkerKey>,
    pub need: Amount,
    /// When the capacity is expected to be free.
    pub expected_ms: u64,
}
