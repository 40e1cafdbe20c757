use std::collections::BTreeSet;

use super::keys::WorkerKey;

/// Workers without a renewal in flight, by the time at which the next one is due.
///
/// A tick looks only at the workers that are due, so its cost does not grow with the number of workers.
#[derive(Debug, Clone, Default)]
pub(super) struct RenewalQueue {
    by_due_ms: BTreeSet<(u64, WorkerKey)>,
}

impl RenewalQueue {
    pub fn insert(&mut self, worker: WorkerKey, due_ms: u64) {
        self.by_due_ms.insert((due_ms, worker));
    }

    pub fn remove(&mut self, worker: WorkerKey, due_ms: u64) {
        self.by_due_ms.remove(&(due_ms, worker));
    }

    /// Removes and returns a worker whose renewal is due, the longest overdue first.
    pub fn pop_due(&mut self, now_ms: u64) -> Option<WorkerKey> {
        let (due_ms, worker) = *self.by_due_ms.first()?;
        if due_ms > now_ms {
            return None;
        }
        self.by_due_ms.pop_first();
        Some(worker)
    }
}
