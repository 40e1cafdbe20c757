use std::collections::{BTreeMap, BTreeSet};

use model::{Inventory, LeaseId, WorkerId};
use policy::WorkerKey;

use crate::job::Key;

/// Whether a worker answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Health {
    /// Not fenced under the current epoch yet.
    Unknown,
    /// Fenced and answering.
    Up,
    /// Silent for longer than the bound.
    Down,
}

/// Whether a worker is leaving, and by whose word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Leaving {
    /// Takes new work.
    No,
    /// The worker says so, and may take it back.
    Reported,
    /// The platform's list says so. The list lags, so the worker's own word does not bring it back.
    Listed,
}

/// What the scheduler knows of one worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerState {
    pub(crate) id: WorkerId,
    pub(crate) key: Option<WorkerKey>,
    pub(crate) health: Health,
    pub(crate) leaving: Leaving,
    /// When the timer of the worker is due.
    pub(crate) due_ms: u64,
    /// Whether an inventory is needed, so that a fence whose reply was lost is sent again.
    pub(crate) wants_inventory: bool,
    /// Number of the fence in flight.
    pub(crate) fence_op: Option<u64>,
    pub(crate) is_renewing: bool,
    /// When the command in flight was sent.
    pub(crate) sent_ms: u64,
    pub(crate) last_reply_ms: u64,
    /// Sequence number of the last task change that was seen.
    pub(crate) sequence: u64,
    /// Whether the last inventory was older than changes already seen.
    pub(crate) has_regressed: bool,
    /// Attempt leases in use or to be settled.
    pub(crate) seats: BTreeMap<LeaseId, Key>,
    /// Grants.
    pub(crate) grants: BTreeSet<LeaseId>,
    /// Inventory of the fence, kept during recovery until the job rows are there.
    pub(crate) inventory: Option<Box<Inventory>>,
}

impl WorkerState {
    /// Creates the state of a worker that was never heard of.
    pub(crate) fn new(id: WorkerId, key: Option<WorkerKey>) -> Self {
        Self {
            id,
            key,
            health: Health::Unknown,
            leaving: Leaving::No,
            due_ms: 0,
            wants_inventory: false,
            fence_op: None,
            is_renewing: false,
            sent_ms: 0,
            last_reply_ms: 0,
            sequence: 0,
            has_regressed: false,
            seats: BTreeMap::new(),
            grants: BTreeSet::new(),
            inventory: None,
        }
    }
}
