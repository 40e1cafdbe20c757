use std::collections::HashMap;

use compact_str::CompactString;

use super::Engine;
use super::candidate::Candidate;
use super::health::is_last_resort;
use super::place::tasks_that_fit;
use super::queue::PlacementUnit;
use super::worker_speeds::SpeedRank;
use crate::{Job, Step};

/// Number of tasks that a plan assigns to a candidate, given by its index.
#[derive(Debug, Clone, Copy)]
pub(super) struct Share {
    pub candidate: usize,
    pub tasks: u32,
}

/// Placement of gangs.
impl Engine {
    /// Finds workers for a whole gang.
    pub(super) fn plan_gang(
        &self,
        unit: &PlacementUnit,
        spec: &Job,
        shape: &Step,
        candidates: &[Candidate],
        now_ms: u64,
    ) -> Option<Vec<Share>> {
        let requires_ticket = self.requires_ticket(unit);
        let speed_need = self.speed_need(unit, spec, now_ms);
        let ranks: Vec<SpeedRank> = candidates
            .iter()
            .map(|candidate| self.speed_rank(candidate.worker, speed_need))
            .collect();
        let usable: Vec<_> = (0..candidates.len())
            .filter(|index| self.can_hold_task(&candidates[*index], unit, spec, shape))
            .filter(|index| !unit.has_suspects || self.is_open_to_suspects(&candidates[*index], unit))
            .filter(|index| !requires_ticket || self.is_permitted(unit, candidates[*index].worker, now_ms))
            .collect();
        // Tries a plan without last-resort workers first.
        let failed_on = self.failed_workers(unit);
        let others: Vec<_> = usable
            .iter()
            .copied()
            .filter(|index| !candidates[*index].is_withheld_from(unit))
            .filter(|index| !is_last_resort(unit, shape, &candidates[*index], &failed_on))
            .collect();
        if others.len() < usable.len() {
            let is_rack_bound = shape.is_same_rack || shape.data_rack.is_some();
            let plan = if is_rack_bound {
                best_rack(shape, &others, candidates, &ranks)
            } else {
                pack(shape, &others, candidates, &ranks)
            };
            if plan.is_some() {
                return plan;
            }
        }
        if !shape.is_same_rack && shape.data_rack.is_none() {
            return pack(shape, &usable, candidates, &ranks);
        }
        if let Some(plan) = best_rack(shape, &usable, candidates, &ranks) {
            return Some(plan);
        }
        let fits_some_rack = self.fits_some_rack(spec, shape);
        if fits_some_rack && !self.may_be_remote(unit, spec, shape, now_ms) {
            return None;
        }
        pack(shape, &usable, candidates, &ranks)
    }

    /// Returns whether some rack can hold the gang once the work there that ends by itself has ended.
    fn fits_some_rack(&self, spec: &Job, shape: &Step) -> bool {
        let mut racks: HashMap<&CompactString, u64> = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            let has_label = shape
                .required_label
                .as_ref()
                .is_none_or(|label| worker.entry.labels.contains(label));
            if worker.entry.service == spec.service && has_label {
                *racks.entry(&worker.entry.rack).or_default() += tasks_that_fit(shape, &worker.drained_capacity());
            }
        }
        racks.values().any(|tasks| *tasks >= u64::from(shape.count))
    }

    pub(super) fn start_gang(
        &mut self,
        unit: &PlacementUnit,
        shape: &Step,
        plan: &[Share],
        hosts: &mut [Candidate],
        now_ms: u64,
    ) {
        let number = self.next_run(unit.job, unit.occurrence, unit.step);
        if let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) {
            state.gang_run = Some(number);
        }
        let mut index = 0;
        for share in plan {
            let host = &mut hosts[share.candidate];
            if unit.has_suspects {
                host.isolated_for = Some(unit.key());
            }
            for _ in 0..share.tasks {
                host.free = host.free.minus(&shape.charged());
                self.start_run(unit.task(index), number, host.worker, now_ms);
                index += 1;
            }
        }
    }

    /// Reserves the rack that is closest to holding a blocked gang against later units; returns whether one was found.
    ///
    /// Only racks that can become free are reserved, and never more than half of those of the service, so that
    /// other work finds workers however long the gang waits.
    pub(super) fn reserve_rack(&mut self, unit: &PlacementUnit, candidates: &mut [Candidate]) -> bool {
        let spec = std::rc::Rc::clone(&self.jobs[unit.job].spec);
        let shape = &spec.steps[unit.step as usize];
        if !shape.is_gang || shape.count < 2 {
            return false;
        }
        let mut racks: HashMap<CompactString, (u64, u64)> = HashMap::new();
        for candidate in candidates.iter().filter(|candidate| candidate.service == spec.service) {
            let (now, empty) = racks.entry(candidate.rack.clone()).or_default();
            let is_reserved = self.reserved_racks.contains_key(&candidate.rack);
            if !is_reserved && candidate.is_open_to(unit) && self.is_eligible(candidate, &spec, shape) {
                *now += tasks_that_fit(shape, &candidate.free);
                *empty += tasks_that_fit(shape, &self.workers[candidate.worker].drained_capacity());
            }
        }
        let reserved = racks.keys().filter(|rack| self.reserved_racks.contains_key(*rack));
        if (reserved.count() + 1) * 2 > racks.len() {
            return false;
        }
        let best = racks
            .iter()
            .filter(|(_, (_, empty))| *empty >= u64::from(shape.count))
            .max_by_key(|(rack, (now, _))| (*now, (*rack).clone()))
            .map(|(rack, _)| rack.clone());
        let Some(rack) = best else { return false };
        let in_rack = |candidate: &&mut Candidate| candidate.rack == rack && candidate.service == spec.service;
        for candidate in candidates.iter_mut().filter(in_rack) {
            candidate.reserved_for.get_or_insert(unit.key());
        }
        self.reserved_racks.insert(rack, unit.key());
        true
    }
}

/// Places the gang on the fullest of the given candidates that can hold it, those that suit it by their speed first.
fn pack(shape: &Step, usable: &[usize], candidates: &[Candidate], ranks: &[SpeedRank]) -> Option<Vec<Share>> {
    let mut order: Vec<_> = usable
        .iter()
        .map(|candidate| (*candidate, tasks_that_fit(shape, &candidates[*candidate].free)))
        .filter(|(_, tasks)| *tasks > 0)
        .collect();
    // Workers near the data first, then the fullest, so that empty workers stay free for wide gangs.
    order.sort_by_key(|(index, _)| {
        let candidate = &candidates[*index];
        let is_remote = shape.data_rack.as_ref().is_some_and(|rack| *rack != candidate.rack);
        (
            is_remote,
            ranks[*index],
            candidate.free.accelerators,
            candidate.free.memory_mib,
        )
    });
    let mut left = u64::from(shape.count);
    let mut plan = Vec::new();
    for (candidate, tasks) in order {
        let tasks = tasks.min(left);
        if tasks > 0 {
            plan.push(Share {
                candidate,
                tasks: tasks as u32,
            });
            left -= tasks;
        }
    }
    (left == 0).then_some(plan)
}

/// Places the gang in one rack: that of its data if it has one, else one whose members are fast enough for it, and of
/// these the fullest that can hold it.
fn best_rack(shape: &Step, usable: &[usize], candidates: &[Candidate], ranks: &[SpeedRank]) -> Option<Vec<Share>> {
    let mut members_of: HashMap<&CompactString, Vec<usize>> = HashMap::new();
    for candidate in usable {
        members_of
            .entry(&candidates[*candidate].rack)
            .or_default()
            .push(*candidate);
    }
    members_of
        .into_iter()
        .filter(|(rack, _)| shape.data_rack.as_ref().is_none_or(|data| data == *rack))
        .filter_map(|(rack, members)| {
            let free: u64 = members
                .iter()
                .map(|candidate| candidates[*candidate].free.accelerators)
                .sum();
            let plan = pack(shape, &members, candidates, ranks)?;
            // A gang advances with its slowest member.
            let miss = plan.iter().map(|share| ranks[share.candidate].miss).max().unwrap_or(0);
            Some((miss, free, rack, plan))
        })
        .min_by_key(|(miss, free, rack, _)| (*miss, *free, (*rack).clone()))
        .map(|(_, _, _, plan)| plan)
}
