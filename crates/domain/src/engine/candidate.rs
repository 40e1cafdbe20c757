use compact_str::CompactString;

use super::Engine;
use super::keys::WorkerKey;
use super::place::Barrier;
use super::queue::{PlacementUnit, PlacementUnitKey};
use crate::Resources;

/// Worker that may receive tasks in a placement pass.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub worker: WorkerKey,
    pub free: Resources,
    pub capacity: Resources,
    pub rack: CompactString,
    pub service: CompactString,
    /// The latest evidence of the worker's health was a failure or slowness.
    pub is_suspect: bool,
    /// The worker's process crashed, and no run has outlived its probation since.
    pub has_crashed: bool,
    /// Unit for which other runs were stopped here; no other unit may use the worker.
    pub preempted_for: Option<PlacementUnitKey>,
    /// Unit for which the rack is reserved; no other unit may use the worker unless it is overdue.
    pub reserved_for: Option<PlacementUnitKey>,
    /// Unit of a suspect task that starts there in this pass; no other unit may start beside it.
    pub isolated_for: Option<PlacementUnitKey>,
    /// The worker failed or delayed its runs; only overdue units may use it.
    pub is_excluded: bool,
}

impl Candidate {
    /// Returns whether a unit may use the candidate.
    pub fn is_open_to(&self, unit: &PlacementUnit) -> bool {
        let is_own = |owner: PlacementUnitKey| owner == unit.key();
        self.isolated_for.is_none_or(is_own)
            && self.preempted_for.is_none_or(is_own)
            && (unit.is_overdue || !self.is_withheld_from(unit))
    }

    /// Returns whether a preference of placement keeps the candidate from a unit that is not overdue.
    pub fn is_withheld_from(&self, unit: &PlacementUnit) -> bool {
        self.is_excluded || self.reserved_for.is_some_and(|owner| owner != unit.key())
    }
}

/// Workers that may receive tasks.
impl Engine {
    /// Returns the workers that may receive tasks in a placement pass.
    pub(super) fn candidates(&mut self, now_ms: u64) -> Vec<Candidate> {
        self.reservations.retain(|reservation| now_ms < reservation.until_ms);
        self.workers
            .iter()
            .map(|(key, worker)| (key, worker, self.barrier(worker, now_ms)))
            .filter(|(_, _, barrier)| matches!(barrier, None | Some(Barrier::Excluded)))
            .map(|(key, worker, barrier)| Candidate {
                worker: key,
                isolated_for: None,
                is_excluded: barrier.is_some(),
                free: worker.entry.capacity.left_beside(&worker.used),
                capacity: worker.entry.capacity,
                rack: worker.entry.rack.clone(),
                service: worker.entry.service.clone(),
                is_suspect: worker.is_suspect(now_ms),
                has_crashed: worker.has_crashed,
                preempted_for: self
                    .reservations
                    .iter()
                    .find(|reservation| reservation.workers.contains(&key))
                    .map(|reservation| reservation.unit),
                reserved_for: None,
            })
            .collect()
    }
}
