use model::{Adjacency, Class};
use smallvec::SmallVec;

use crate::arrange::Arrangement;
use crate::job::Job;
use crate::{Decision, GuaranteedShare, JobKey, WorkerKey};

impl GuaranteedShare {
    /// A job that was ended this often for others stays where it is, so that wide jobs do not starve narrow ones.
    const MAX_MOVES: u8 = 2;
    /// Weight of each borrowed accelerator against lost work: a gang that borrows is ended when any one owner returns.
    const BORROWING_COST_MS: u64 = 60_000;
    /// Racks of a data centre that are searched.
    const RACKS_COMPARED: usize = 8;

    /// Starts a wide job that has waited long where the least must be moved away for it.
    ///
    /// Only deferred work that is no wider, can be checkpointed and stands outside of its owner's share is moved.
    pub(crate) fn make_room(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Decision>) -> bool {
        let width = self.jobs[key].shape.accelerators();
        let movable = move |other: &Job| {
            other.checkpointable
                && other.class == Class::Deferred
                && other.shape.accelerators() <= width
                && other.moves < Self::MAX_MOVES
        };
        let Some(found) = self.cheapest_room(now_ms, key, movable) else {
            return false;
        };
        self.claim(now_ms, key, &found, None, movable, out);
        true
    }

    fn cheapest_room(
        &self,
        now_ms: u64,
        key: JobKey,
        movable: impl Fn(&Job) -> bool + Copy,
    ) -> Option<Arrangement<WorkerKey>> {
        let job = &self.jobs[key];
        let view = self.view_of(now_ms, key);
        let size = match job.shape.adjacency {
            Adjacency::Worker => job.shape.accelerators(),
            _ => job.shape.accelerators_per_part.into(),
        };
        let mut best: Option<(u64, Arrangement<WorkerKey>)> = None;
        for dc in &self.cluster.dcs {
            if !dc.allows_start(now_ms, job.shape.parts) {
                continue;
            }
            let racks = dc.indexes[view as usize].roomiest_racks(size as usize, Self::RACKS_COMPARED);
            let groups: Vec<Vec<u32>> = match job.shape.adjacency {
                Adjacency::DataCentre => vec![racks.collect()],
                _ => racks.map(|rack| vec![rack]).collect(),
            };
            for racks in groups {
                let found = self.cheapest_of(now_ms, key, &racks, movable);
                if let Some(found) = found
                    && best.as_ref().is_none_or(|known| found.0 < known.0)
                {
                    best = Some(found);
                }
            }
        }
        best.map(|(_, found)| found)
    }

    /// Returns the cost and the workers among those of the racks, the cheapest by part first.
    fn cheapest_of(
        &self,
        now_ms: u64,
        key: JobKey,
        racks: &[u32],
        movable: impl Fn(&Job) -> bool + Copy,
    ) -> Option<(u64, Arrangement<WorkerKey>)> {
        let job = &self.jobs[key];
        let (need, parts) = (job.need(), job.shape.parts);
        let mut options: SmallVec<[(u64, WorkerKey, u16); 32]> = SmallVec::new();
        for &worker in racks.iter().flat_map(|&rack| &self.cluster.racks[rack as usize]) {
            let state = &self.cluster.workers[worker];
            if !state.is_usable() || job.failed_on.contains(&worker) {
                continue;
            }
            let limit = if self.borrows(now_ms, key) {
                state.capacity
            } else {
                state.capacity - state.guaranteed - state.hard
            };
            let now = (state.free - state.reserved).min(limit).count_of(need).min(parts);
            let room = self.room_after_eviction(worker, state.free - state.reserved, movable);
            let later = room.min(limit).count_of(need).min(parts);
            if later == 0 || (job.shape.adjacency == Adjacency::Worker && later < parts) {
                continue;
            }
            let victims = state
                .jobs
                .iter()
                .filter(|&&job| self.is_victim(job, worker) && movable(&self.jobs[job]));
            let cost: u64 = if now == later {
                0
            } else {
                victims.map(|&job| self.eviction_cost(job)).sum()
            };
            let open = (state.capacity - state.guaranteed - state.hard)
                .count_of(need)
                .min(later);
            let borrowed = u64::from(later - open) * need.accelerators as u64;
            let cost = cost + borrowed * Self::BORROWING_COST_MS;
            options.push((cost / u64::from(later), worker, later));
        }
        options.sort_unstable();
        let (mut cost, mut rest, mut found) = (0, parts, Arrangement::new());
        for (each, worker, count) in options {
            let taken = count.min(rest);
            cost += each * u64::from(taken);
            found.push((worker, taken));
            rest -= taken;
            if rest == 0 {
                return Some((cost, found));
            }
        }
        None
    }
}
