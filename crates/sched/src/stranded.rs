use std::ops::Bound;

use model::DataCentreId;
use policy::{Event as Observed, Policy};
use trace::{Event, EventKind};

use crate::action::Action;
use crate::job::{Key, Phase};
use crate::scheduler::Scheduler;

/// How long a job waits before another data centre is considered; doubles with each move.
const FIRST_MOVE_MS: u64 = 3_000;
/// Most doublings, so that a job that fits nowhere is moved every 13 min at most.
const MAX_DOUBLINGS: u32 = 8;
/// Interval of looking for such jobs.
const INTERVAL_MS: u64 = 1_000;
/// Most jobs looked at in one interval; the rest follow in the next ones.
const MAX_LOOKED_AT: usize = 50;

/// Where the search for stranded jobs stands.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StrandedSearch {
    due_ms: u64,
    last: Option<Key>,
}

impl<P: Policy> Scheduler<P> {
    /// Moves jobs that have waited and that this data centre could not run even when idle to the next data centre.
    ///
    /// A rack that is guaranteed to another organisation, granted slots and lost workers can leave a job without any
    /// place here although another data centre has one.
    pub(crate) fn move_stranded(&mut self, actions: &mut Vec<Action>) {
        if self.now_ms < self.stranded.due_ms || !self.is_store_up || !self.is_in_service {
            return;
        }
        self.stranded.due_ms = self.now_ms + INTERVAL_MS;
        let Some(next) = self.next_data_centre() else { return };
        let from = self.stranded.last.map_or(Bound::Unbounded, Bound::Excluded);
        let looked_at: Vec<Key> = self
            .queued
            .range((from, Bound::Unbounded))
            .take(MAX_LOOKED_AT)
            .copied()
            .collect();
        self.stranded.last = if looked_at.len() < MAX_LOOKED_AT {
            None
        } else {
            looked_at.last().copied()
        };
        for key in looked_at {
            if self.is_stranded(key) {
                self.jobs[key].row.moves += 1;
                self.move_job(key, next.clone(), actions);
            }
        }
    }

    fn is_stranded(&self, key: Key) -> bool {
        let job = &self.jobs[key];
        let wait_ms = FIRST_MOVE_MS << job.row.moves.min(MAX_DOUBLINGS);
        let waited_ms = self.now_unix_ms.saturating_sub(job.row.accepted_unix_ms);
        waited_ms >= wait_ms && job.open.is_none() && job.policy_key.is_some_and(|key| !self.policy.could_run(key))
    }

    /// Returns the data centre in service that follows this one in order of ids, so that moves visit all of them.
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

    /// Gives a queued job to another data centre; its scheduler finds the row.
    pub(crate) fn move_job(&mut self, key: Key, data_centre: DataCentreId, actions: &mut Vec<Action>) {
        self.detach(key, |job| Observed::Removed { job });
        let job = &mut self.jobs[key];
        job.row.data_centre = data_centre;
        let event = Event::new(EventKind::JobRequeued).job(job.id.clone()).cause("moved");
        self.event(event, actions);
        self.set_phase(key, Phase::Final);
        self.mark_dirty(key);
    }
}
