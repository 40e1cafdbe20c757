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
    /// Unresponsive for longer than `worker_down_ms`.
    Down,
}

/// Whether a worker is draining, and which source reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Draining {
    /// Takes new work.
    No,
    /// Reported by the worker, which may withdraw it.
    Reported,
    /// Reported by the platform's list. The list lags, so a worker's own report does not override it.
    Listed,
}

/// State of one worker as known to the scheduler.
#[derive(Debug, Clone)]
pub(crate) struct WorkerState {
    pub(crate) id: WorkerId,
    pub(crate) policy_key: Option<WorkerKey>,
    pub(crate) health: Health,
    pub(crate) draining: Draining,
    /// When the timer of the worker is due.
    pub(crate) due_ms: u64,
    /// Whether an inventory is needed, so that a fence whose reply was lost is repeated.
    pub(crate) needs_inventory: bool,
    /// Number of the fence in flight.
    pub(crate) fence_op: Option<u64>,
    pub(crate) is_renewing: bool,
    /// When the command in flight was sent.
    pub(crate) sent_ms: u64,
    pub(crate) last_reply_ms: u64,
    /// Sequence number of the last task change that was received.
    pub(crate) sequence: u64,
    /// Whether the last inventory was older than changes already received.
    pub(crate) has_regressed: bool,
    /// Leases of attempts that are in use or not settled yet.
    pub(crate) attempt_leases: BTreeMap<LeaseId, Key>,
    /// Leases granted to entry instances.
    pub(crate) grants: BTreeSet<LeaseId>,
    /// Inventory of the fence, kept during recovery until the job rows are read.
    pub(crate) inventory: Option<Box<Inventory>>,
}

impl WorkerState {
    /// Creates the state of a worker that has not replied yet.
    pub(crate) fn new(id: WorkerId, policy_key: Option<WorkerKey>) -> Self {
        Self {
            id,
            policy_key,
            health: Health::Unknown,
            draining: Draining::No,
            due_ms: 0,
            needs_inventory: false,
            fence_op: None,
            is_renewing: false,
            sent_ms: 0,
            last_reply_ms: 0,
            sequence: 0,
            has_regressed: false,
            attempt_leases: BTreeMap::new(),
            grants: BTreeSet::new(),
            inventory: None,
        }
    }
}
