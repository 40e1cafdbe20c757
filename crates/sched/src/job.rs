use model::{Answer, Attempt, AttemptState, Charge, JobId, JobRow, Outcome};
use policy::JobKey;

use crate::WriteId;
use crate::run::Run;

slotmap::new_key_type! {
    /// Key of a job in the scheduler's arena.
    pub(crate) struct Key;
}

/// Phase of a job's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In the policy's queue.
    Queued,
    /// Kept out of the policy's queue until the store answers, the queue has free capacity or the data centre is in
    /// service.
    Parked,
    /// The attempt record is being written; nothing was sent to a worker.
    Recording,
    /// Leases are requested.
    Reserving,
    /// All leases are granted; starts are sent.
    Starting,
    /// Each part is running or has finished.
    Running,
    /// Leases are being revoked.
    Ending,
    /// The state of a former lease holder's attempt is being determined from inventories.
    Adopting,
    /// The result of a non-idempotent attempt is unknown until an unresponsive worker answers.
    Unknown,
    /// The row is final or moved to another data centre; its write is open or queued.
    Final,
}

impl Phase {
    /// Returns whether a planned stop waits for the phase to end.
    pub(crate) const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::Recording | Self::Reserving | Self::Starting | Self::Ending | Self::Adopting
        )
    }
}

/// Store write of a job's row without a final result yet.
#[derive(Debug, Clone)]
pub(crate) struct OpenWrite {
    pub(crate) id: WriteId,
    /// Number of the last attempt in the written row.
    pub(crate) attempt: u32,
    /// Whether this is the last write of the job.
    pub(crate) is_final: bool,
    /// Charge that is written in the same transaction.
    pub(crate) charge: Option<Charge>,
    /// Whether the result was reported as unknown.
    pub(crate) is_unknown: bool,
}

/// Job in memory; dropped once its final row is written.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    /// Row as it is to be written to the table.
    pub(crate) row: JobRow,
    /// Memory of the payload, if it is large.
    pub(crate) payload_bytes: u64,
    /// Version of the row in the table.
    pub(crate) version: u64,
    pub(crate) phase: Phase,
    /// Key in the policy, while the policy knows the job.
    pub(crate) policy_key: Option<JobKey>,
    pub(crate) run: Option<Run>,
    pub(crate) open_write: Option<OpenWrite>,
    /// Whether the row differs from the stored one and from the open write.
    pub(crate) is_dirty: bool,
    pub(crate) is_write_queued: bool,
    /// Charges that are not written yet, in order of their attempts.
    pub(crate) charges: Vec<Charge>,
    pub(crate) answer: Option<Box<Answer>>,
    /// Final outcome that is not published yet.
    pub(crate) outcome: Option<Box<Outcome>>,
    /// Checkpoint of each part to resume from; empty means from the start.
    pub(crate) checkpoints: Vec<String>,
    /// Row of another lease holder that replaces this one once the own attempt has ended.
    pub(crate) replacement: Option<(Box<JobRow>, u64)>,
    /// Whether an unresponsive worker may run it without an attempt record, because it was started during a store
    /// outage.
    pub(crate) may_run_unrecorded: bool,
    /// Number of the highest attempt that was read from the table or written to it.
    pub(crate) stored_attempt: u32,
    /// Number of the highest attempt that a worker reported. Task ids contain it, so later attempts need a higher one.
    pub(crate) reported_attempt: u32,
}

/// Returns the memory of the payload, or 0 if it is small: the number of jobs in a queue bounds the small ones.
fn large_payload_bytes(row: &JobRow) -> u64 {
    const SMALL_BYTES: u64 = 4 * 1_024;
    let bytes = row.spec.payload_bytes();
    if bytes > SMALL_BYTES { bytes } else { 0 }
}

impl Job {
    /// Creates a job in phase `Parked`.
    pub(crate) fn new(row: JobRow, version: u64) -> Self {
        Self {
            id: row.id(),
            payload_bytes: large_payload_bytes(&row),
            stored_attempt: row.attempts.last().map_or(0, |attempt| attempt.number),
            checkpoints: row.checkpoints.clone(),
            row,
            version,
            phase: Phase::Parked,
            policy_key: None,
            run: None,
            open_write: None,
            is_dirty: false,
            is_write_queued: false,
            charges: Vec::new(),
            answer: None,
            outcome: None,
            replacement: None,
            reported_attempt: 0,
            may_run_unrecorded: false,
        }
    }

    /// Returns the number of the last attempt; 0 if there is none.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.row.attempts.last().map_or(0, |attempt| attempt.number)
    }

    /// Returns whether any attempt may have started.
    pub(crate) fn may_have_started(&self) -> bool {
        self.may_run_unrecorded || self.row.attempts.iter().any(may_have_started)
    }

    /// Returns whether another attempt is allowed; a non-idempotent job runs at most once unless every part has a
    /// checkpoint.
    pub(crate) fn may_start(&self) -> bool {
        self.row.spec.idempotent
            || !self.may_have_started()
            || self.checkpoints.len() == usize::from(self.row.spec.shape.parts)
    }

    /// Sets the state of the last attempt.
    pub(crate) fn set_attempt_state(&mut self, state: AttemptState) {
        if let Some(attempt) = self.row.attempts.last_mut() {
            attempt.state = state;
        }
    }
}

/// Returns whether the attempt may have started, which holds unless the contrary is proven.
pub(crate) fn may_have_started(attempt: &Attempt) -> bool {
    attempt.state != AttemptState::NotStarted
}
