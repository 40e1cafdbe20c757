use model::{Answer, Attempt, AttemptState, Charge, JobId, JobRow, Outcome};
use policy::JobKey;

use crate::WriteId;
use crate::run::Run;

slotmap::new_key_type! {
    /// Key of a job in the scheduler's arena.
    pub(crate) struct Key;
}

/// Where a job is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In the policy's queue.
    Queued,
    /// Out of the policy's queue until the store answers, the queue has room or the data centre is in service.
    Parked,
    /// The attempt record is being written; no worker was told.
    Recording,
    /// Leases are requested.
    Reserving,
    /// All leases are granted; starts are sent.
    Starting,
    /// All parts run, or ended well.
    Running,
    /// Leases are being revoked.
    Ending,
    /// An attempt of a former holder is being settled from inventories.
    Adopting,
    /// A non-idempotent attempt is unknown until a silent worker answers.
    Unknown,
    /// The row is final or moved away; its write is open or waits.
    Final,
}

impl Phase {
    /// Returns whether a planned stop waits for the phase to pass.
    pub(crate) const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::Recording | Self::Reserving | Self::Starting | Self::Ending | Self::Adopting
        )
    }
}

/// Store write of a job's row that has no final result yet.
#[derive(Debug, Clone)]
pub(crate) struct OpenWrite {
    pub(crate) id: WriteId,
    /// Number of the last attempt in the written row.
    pub(crate) attempt: u32,
    /// Whether nothing is left to write afterwards.
    pub(crate) is_final: bool,
    /// Charge in the same transaction.
    pub(crate) charge: Option<Charge>,
    /// Whether the store does not answer for it.
    pub(crate) is_unknown: bool,
}

/// Job in memory; dropped once its final row is written.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    /// Row as it should be in the table.
    pub(crate) row: JobRow,
    /// Version that the row has in the table.
    pub(crate) version: u64,
    pub(crate) phase: Phase,
    /// Key in the policy, while the policy knows the job.
    pub(crate) policy_key: Option<JobKey>,
    pub(crate) run: Option<Run>,
    pub(crate) open: Option<OpenWrite>,
    /// Whether the row differs from what the table holds or is being given.
    pub(crate) is_dirty: bool,
    pub(crate) is_write_queued: bool,
    /// Charges that are not written yet, in order of their attempts.
    pub(crate) charges: Vec<Charge>,
    pub(crate) answer: Option<Box<Answer>>,
    /// Final outcome that nobody was told yet.
    pub(crate) outcome: Option<Box<Outcome>>,
    /// Checkpoint of each part to resume from; empty means from the start.
    pub(crate) checkpoints: Vec<String>,
    /// Row of another holder that takes the place of this one once the own attempt has ended.
    pub(crate) replacement: Option<(Box<JobRow>, u64)>,
    /// Whether a silent worker may run it without a record, as work does that was started during a store outage.
    pub(crate) is_unproven: bool,
    /// Highest attempt that was read from the table or written to it.
    pub(crate) known_attempt: u32,
    /// Highest attempt that a worker knows. Task ids name the attempt, so a later one needs a higher number.
    pub(crate) seen_attempt: u32,
}

impl Job {
    /// Creates a job in phase `Parked`.
    pub(crate) fn new(row: JobRow, version: u64) -> Self {
        Self {
            id: row.id(),
            known_attempt: row.attempts.last().map_or(0, |attempt| attempt.number),
            checkpoints: row.checkpoints.clone(),
            row,
            version,
            phase: Phase::Parked,
            policy_key: None,
            run: None,
            open: None,
            is_dirty: false,
            is_write_queued: false,
            charges: Vec::new(),
            answer: None,
            outcome: None,
            replacement: None,
            seen_attempt: 0,
            is_unproven: false,
        }
    }

    /// Returns the number of the last attempt; 0 if there is none.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.row.attempts.last().map_or(0, |attempt| attempt.number)
    }

    /// Returns whether any attempt may have started work.
    pub(crate) fn has_run(&self) -> bool {
        self.is_unproven || self.row.attempts.iter().any(has_run)
    }

    /// Returns whether a further attempt keeps the promise that a non-idempotent job runs at most once.
    pub(crate) fn may_start(&self) -> bool {
        self.row.spec.idempotent || !self.has_run() || self.checkpoints.len() == usize::from(self.row.spec.shape.parts)
    }

    /// Sets the state of the last attempt.
    pub(crate) fn set_attempt_state(&mut self, state: AttemptState) {
        if let Some(attempt) = self.row.attempts.last_mut() {
            attempt.state = state;
        }
    }
}

/// Returns whether the attempt is not proven never to have started.
pub(crate) fn has_run(attempt: &Attempt) -> bool {
    attempt.state != AttemptState::NotStarted
}
