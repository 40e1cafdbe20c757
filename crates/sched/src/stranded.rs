use std::ops::Bound;

use model::DataCentreId;
use policy::{Event as Observed, Policy};
use trace::{Event, EventKind};

use crate::action::Action;
use crate::job::{Key, Phase};
use crate::scheduler::Scheduler;

/// Waiting time before a job is first moved to another data centre; doubles with each move.
const FIRST_MOVE_MS: u64 = 3_000;
/// Maximum number of doublings, so that a job that fits nowhere waits 13 min at most before it is moved.
const MAX_DOUBLINGS: u32 = 8;
/// Interval between scans for stranded jobs.
const INTERVAL_MS: u64 = 1_000;
/// Maximum number of jobs checked in one scan; the rest follow in the next scans.
const MAX_CANDIDATES: usize = 50;

/// Returns the time from the acceptance of a job to its next move: the sum of the waits before all its moves.
fn wait_before_move_ms(moves: u32) -> u64 {
    let doublings = moves.min(MAX_DOUBLINGS);
    let doubling_ms = FIRST_MOVE_MS * ((2 << doublings) - 1);
    let further_ms = u64::from(moves - doublings) * (FIRST_MOVE_MS << MAX_DOUBLINGS);
    doubling_ms + further_ms
}

/// Progress of the scan for stranded jobs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StrandedSearch {
    due_ms: u64,
    last: Option<Key>,
}

impl<P: Policy> Scheduler<P> {
    /// Moves waiting jobs that this data centre could not run even when idle to the next data centre.
    ///
    /// A rack that is guaranteed to another organisation, granted slots and lost workers can leave a job without any
    /// placement here although another data centre has one.
    pub(crate) fn move_stranded(&mut self, actions: &mut Vec<Action>) {
        if self.now_ms < self.stranded.due_ms || !self.is_store_up || !self.is_in_service {
            return;
        }
        self.stranded.due_ms = self.now_ms + INTERVAL_MS;
        let Some(next) = self.next_data_centre() else { return };
        let from = self.stranded.last.map_or(Bound::Unbounded, Bound::Excluded);
        let candidates: Vec<Key> = self
            .queued
            .range((from, Bound::Unbounded))
            .take(MAX_CANDIDATES)
            .copied()
            .collect();
        self.stranded.last = if candidates.len() < MAX_CANDIDATES {
            None
        } else {
            candidates.last().copied()
        };
        for key in candidates {
            if self.is_stranded(key) {
                self.jobs[key].row.moves += 1;
                self.move_job(key, next.clone(), actions);
            }
        }
    }

    fn is_stranded(&self, key: Key) -> bool {
        let job = &self.jobs[key];
        let wait_ms = wait_before_move_ms(job.row.moves);
        let waited_ms = self.now_unix_ms.saturating_sub(job.row.accepted_unix_ms);
        waited_ms >= wait_ms
            && job.open_write.is_none()
            && job.policy_key.is_some_and(|key| !self.policy.could_run(key))
    }

    /// Returns the next data centre in service by id, wrapping around, so that repeated moves visit all of them.
    fn next_data_centre(&self) -> Option<DataCentreId> {
        let config = self.config.as_ref()?;
        let others = || {
            config
                .data_centres
                .iter()
                .filter(|dc| dc.in_service && dc.id != self.data_centre)
                .map(|dc| &dc.id)
        };
        others()
            .filter(|id| **id > self.data_centre)
            .min()
            .or_else(|| others().min())
            .cloned()
    }

    /// Moves a queued job to another data centre, whose scheduler finds the row by polling the table.
    pub(crate) fn move_job(&mut self, key: Key, data_centre: DataCentreId, actions: &mut Vec<Action>) {
        self.remove_from_policy(key, |job| Observed::Removed { job });
        let job = &mut self.jobs[key];
        job.row.data_centre = data_centre;
        let event = Event::new(EventKind::JobRequeued).job(job.id.clone()).cause("moved");
        self.event(event, actions);
        self.set_phase(key, Phase::Final);
        self.mark_dirty(key);
    }
}
