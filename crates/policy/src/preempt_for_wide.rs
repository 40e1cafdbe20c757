use model::{Adjacency, Class};
use smallvec::SmallVec;

use crate::arrange::Arrangement;
use crate::job::Job;
use crate::{Decision, GuaranteedShare, JobKey, WorkerKey};

impl GuaranteedShare {
    /// Preemptions after which a job is not preempted for wide jobs again, so that they do not starve narrow ones.
    const MAX_PREEMPTIONS: u8 = 2;
    /// Cost of each borrowed accelerator, in lost accelerator time: a gang that borrows is preempted as soon as any one
    /// owner needs its share.
    const BORROWING_COST_MS: u64 = 60_000;
    /// Racks of a data centre that are compared.
    const MAX_RACKS_COMPARED: usize = 8;

    /// Places a wide job that has waited long where preempting other work for it costs the least.
    ///
    /// Preempts only deferred work that is no wider, can be checkpointed and runs outside of its owner's share.
    pub(crate) fn preempt_for_wide_job(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Decision>) -> bool {
        let width = self.jobs[key].shape.accelerators();
        let evictable = move |other: &Job| {
            other.checkpointable
                && other.class == Class::Deferred
                && other.shape.accelerators() <= width
                && other.preemptions < Self::MAX_PREEMPTIONS
        };
        let Some(found) = self.cheapest_arrangement(now_ms, key, evictable) else {
            return false;
        };
        self.preempt_and_allocate(now_ms, key, &found, None, evictable, out);
        true
    }

    fn cheapest_arrangement(
        &self,
        now_ms: u64,
        key: JobKey,
        evictable: impl Fn(&Job) -> bool + Copy,
    ) -> Option<Arrangement<WorkerKey>> {
        let job = &self.jobs[key];
        let view = self.view_of(now_ms, key);
        let accelerators_needed = match job.shape.adjacency {
            Adjacency::Worker => job.shape.accelerators(),
            _ => job.shape.accelerators_per_part.into(),
        };
        let mut best: Option<(u64, Arrangement<WorkerKey>)> = None;
        for dc in &self.cluster.dcs {
            if !dc.allows_start(now_ms, job.shape.parts) {
                continue;
            }
            let racks = dc.indexes[view as usize].largest_racks(accelerators_needed as usize, Self::MAX_RACKS_COMPARED);
            let groups: Vec<Vec<u32>> = match job.shape.adjacency {
                Adjacency::DataCentre => vec![racks.collect()],
                _ => racks.map(|rack| vec![rack]).collect(),
            };
            for racks in groups {
                let found = self.cheapest_in_racks(now_ms, key, &racks, evictable);
                if let Some(found) = found
                    && best.as_ref().is_none_or(|known| found.0 < known.0)
                {
                    best = Some(found);
                }
            }
        }
        best.map(|(_, found)| found)
    }

    /// Returns the total cost and the chosen workers of the racks, in ascending order of cost per part.
    fn cheapest_in_racks(
        &self,
        now_ms: u64,
        key: JobKey,
        racks: &[u32],
        evictable: impl Fn(&Job) -> bool + Copy,
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
                state.capacity - state.guaranteed - state.non_evictable
            };
            let now = (state.free - state.reserved).min(limit).count_of(need).min(parts);
            let after_eviction = self.capacity_after_eviction(worker, state.free - state.reserved, evictable);
            let later = after_eviction.min(limit).count_of(need).min(parts);
            if later == 0 || (job.shape.adjacency == Adjacency::Worker && later < parts) {
                continue;
            }
            let victims = state
                .jobs
                .iter()
                .filter(|&&job| self.is_victim(job, worker) && evictable(&self.jobs[job]));
            let cost: u64 = if now == later {
                0
            } else {
                victims.map(|&job| self.eviction_cost(job)).sum()
            };
            let unguaranteed = (state.capacity - state.guaranteed - state.non_evictable)
                .count_of(need)
                .min(later);
            let borrowed = u64::from(later - unguaranteed) * need.accelerators as u64;
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
