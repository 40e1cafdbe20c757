use overload::Standing;

use super::candidate::Candidate;
use super::queue::PlacementUnit;
use super::{Engine, RunState};

/// Workers that one placement pass keeps free for work that has aged.
#[derive(Debug, Default)]
pub(super) struct AgedReservations {
    /// Expected time until each candidate has ended all its finite runs; worked out once in a pass.
    drains_ms: Option<Vec<u64>>,
    count: usize,
}

/// Room for aged work.
impl Engine {
    /// Maximum number of workers kept free in one pass; a part of each is idle until the task starts.
    const MAX_RESERVED_WORKERS: usize = 2;

    /// Keeps a worker free for an aged task that fits nowhere: narrow tasks, which fit into what single ends leave, would
    /// otherwise take each free part of a worker for as long as there is a queue. Takes the worker that is free first, and
    /// none on which the task could no longer be in time.
    pub(super) fn reserve_worker(
        &self,
        unit: &PlacementUnit,
        candidates: &mut [Candidate],
        reservations: &mut AgedReservations,
        now_ms: u64,
    ) {
        if reservations.count >= Self::MAX_RESERVED_WORKERS {
            return;
        }
        if self.standing_of(unit.job, unit.occurrence, unit.step) != Some(Standing::Aged) || unit.has_suspects {
            return;
        }
        let spec = &self.jobs[unit.job].spec;
        let shape = &spec.steps[unit.step as usize];
        if shape.is_gang {
            // Racks are reserved for blocked gangs.
            return;
        }
        let drains_ms = reservations.drains_ms.get_or_insert_with(|| {
            let drains = candidates.iter().map(|candidate| self.drain_ms(candidate, now_ms));
            drains.collect()
        });
        let slack_ms = unit.latest_start_ms.saturating_sub(now_ms);
        let first = candidates
            .iter()
            .zip(drains_ms.iter())
            .enumerate()
            .filter(|(_, (candidate, drain_ms))| {
                **drain_ms <= slack_ms
                    && !candidate.is_withheld_from(unit)
                    && candidate.is_open_to(unit)
                    && self.is_eligible(candidate, spec, shape)
                    && self
                        .workers
                        .get(candidate.worker)
                        .is_some_and(|worker| shape.charged().fits(&worker.drained_capacity()))
            })
            .min_by_key(|(_, (_, drain_ms))| **drain_ms)
            .map(|(index, _)| index);
        if let Some(index) = first {
            candidates[index].reserved_for = Some(unit.key());
            reservations.count += 1;
        }
    }

    /// Returns the expected time until a candidate has ended all its finite runs.
    fn drain_ms(&self, candidate: &Candidate, now_ms: u64) -> u64 {
        let runs = self.workers[candidate.worker].runs.iter().map(|key| &self.runs[*key]);
        runs.filter(|run| !run.is_lasting && run.state != RunState::Stopping && !run.is_need_unknown)
            .map(|run| self.remaining_ms(run, now_ms))
            .max()
            .unwrap_or(0)
    }
}
