use std::collections::HashMap;

use compact_str::CompactString;

use super::keys::WorkerKey;
use super::order::{Unit, UnitKey};
use super::{Engine, Worker};
use crate::{EntryState, Job, Resources, Step};

/// Worker that can take tasks in a placement pass.
#[derive(Debug, Clone)]
pub(super) struct Spot {
    pub worker: WorkerKey,
    pub free: Resources,
    pub capacity: Resources,
    pub rack: CompactString,
    pub service: CompactString,
    /// Kept for this work; other units must not use it.
    pub kept_for: Option<UnitKey>,
}

impl Spot {
    /// Returns whether a unit may use the spot.
    pub fn is_open_to(&self, unit: &Unit) -> bool {
        self.kept_for.is_none_or(|owner| owner == unit.key())
    }
}

/// Workers that are kept for a unit after others were stopped for it.
#[derive(Debug, Clone)]
pub(super) struct Claim {
    pub unit: UnitKey,
    pub workers: Vec<WorkerKey>,
    pub until_ms: u64,
}

/// Tasks on one spot of a plan.
#[derive(Debug, Clone, Copy)]
pub(super) struct Share {
    pub spot: usize,
    pub tasks: u32,
}

/// Placement of waiting work on workers.
impl Engine {
    /// Longest time since the last reply of a worker that gets new tasks: one renewal with its wait, and a margin.
    const FRESH_MS: u64 = Self::RENEW_WAIT_MS + 500;

    /// Most blocked gangs that keep a rack for themselves in one pass.
    const MAX_RESERVATIONS: usize = 2;

    /// Units for which room is looked for by preemption in one pass; each look goes through all runs.
    const MAX_PREEMPTIONS: usize = 4;

    /// First units of the queue that every pass looks at.
    const FIRST_UNITS: usize = 100;

    /// Further units in one pass. Passes go through the rest of a long queue in turn, which bounds the processor time
    /// of a pass and leaves nobody out behind work that cannot be placed.
    const NEXT_UNITS: usize = 100;

    /// Returns whether a worker may get new tasks.
    pub(super) fn is_usable(&self, worker: &Worker, now_ms: u64) -> bool {
        worker.is_listed
            && worker.is_recorded
            && worker.is_fenced
            && worker.entry.state == EntryState::Ready
            && worker.silent_since_ms.is_none()
            && now_ms < worker.heard_ms + Self::FRESH_MS
            && now_ms >= worker.avoid_until_ms
            && !self.waves.is_cordoned(&worker.entry.id)
            && !self.out_of_service.contains(&worker.entry.data_centre)
    }

    pub(super) fn spots(&mut self, now_ms: u64) -> Vec<Spot> {
        self.claims.retain(|claim| now_ms < claim.until_ms);
        self.workers
            .iter()
            .filter(|(_, worker)| self.is_usable(worker, now_ms))
            .map(|(key, worker)| Spot {
                worker: key,
                free: worker.entry.capacity.minus(&worker.used),
                capacity: worker.entry.capacity,
                rack: worker.entry.rack.clone(),
                service: worker.entry.service.clone(),
                kept_for: self
                    .claims
                    .iter()
                    .find(|claim| claim.workers.contains(&key))
                    .map(|claim| claim.unit),
            })
            .collect()
    }

    /// Places what fits, in order.
    pub(super) fn place_all(&mut self, now_ms: u64) {
        let units = self.ready_units(now_ms);
        if units.is_empty() {
            return;
        }
        let mut spots = self.spots(now_ms);
        let mut reservations = 0;
        let mut preemptions = 0;
        for unit in self.units_of_pass(units) {
            if self.needs_advice(&unit, &spots, now_ms) {
                continue;
            }
            if self.place_unit(&unit, &mut spots, now_ms) {
                self.claims.retain(|claim| claim.unit != unit.key());
                continue;
            }
            if unit.priority == 0 && preemptions < Self::MAX_PREEMPTIONS && !self.is_taking_over(now_ms) {
                preemptions += usize::from(self.preempt_for(&unit, &spots, now_ms));
            }
            if reservations < Self::MAX_RESERVATIONS && self.reserve(&unit, &mut spots) {
                reservations += 1;
            }
        }
    }

    /// Returns the first units and the next ones of the rest, in order.
    fn units_of_pass(&mut self, units: Vec<Unit>) -> Vec<Unit> {
        if units.len() <= Self::FIRST_UNITS + Self::NEXT_UNITS {
            return units;
        }
        let from = Self::FIRST_UNITS.max(self.next_unit % units.len());
        let to = (from + Self::NEXT_UNITS).min(units.len());
        self.next_unit = to;
        let first = units[..Self::FIRST_UNITS].iter();
        first.chain(&units[from..to]).copied().collect()
    }

    /// Returns whether workers still have to answer a new scheduler, so that room may show without preemption.
    fn is_taking_over(&self, now_ms: u64) -> bool {
        const TAKEOVER_MS: u64 = 500;
        now_ms < self.took_over_ms + TAKEOVER_MS
            && self
                .workers
                .values()
                .any(|worker| worker.is_listed && !worker.is_fenced)
    }

    /// Starts what fits of a unit; returns whether nothing of it is left waiting.
    fn place_unit(&mut self, unit: &Unit, spots: &mut [Spot], now_ms: u64) -> bool {
        let spec = std::rc::Rc::clone(&self.jobs[unit.job].spec);
        let shape = &spec.steps[unit.step as usize];
        if shape.is_gang {
            let Some(plan) = self.plan_gang(unit, &spec, shape, spots, now_ms) else {
                return false;
            };
            self.start_gang(unit, shape, &plan, spots, now_ms);
            return true;
        }
        let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) else {
            return true;
        };
        let idle: Vec<_> = state.idle().collect();
        let mut per_worker = self.tasks_per_worker(unit);
        let may_be_remote = self.may_be_remote(unit, &spec, shape, now_ms);
        let doubtful = self.doubtful_workers(unit, shape, now_ms);
        let is_advised = self.is_advised(unit);
        for index in idle {
            let best = spots
                .iter()
                .enumerate()
                .filter(|(_, spot)| shape.charged().fits(&spot.free) && spot.is_open_to(unit))
                .filter(|(_, spot)| self.takes(spot, &spec, shape))
                .filter(|(_, spot)| !is_advised || self.is_permitted(unit, spot.worker, now_ms))
                .filter(|(_, spot)| has_share_left(shape, per_worker.get(&spot.worker)))
                .filter(|(_, spot)| may_be_remote || shape.data_rack.as_ref().is_none_or(|rack| *rack == spot.rack))
                .min_by_key(|(_, spot)| {
                    let left = spot.free.minus(&shape.charged());
                    let is_remote = shape.data_rack.as_ref().is_some_and(|rack| *rack != spot.rack);
                    (
                        doubtful.contains(&spot.worker),
                        is_remote,
                        left.accelerators,
                        left.memory_mib,
                        left.cpu_milli,
                    )
                })
                .map(|(index, _)| index);
            let Some(best) = best else { return false };
            let spot = &mut spots[best];
            spot.free = spot.free.minus(&shape.charged());
            let worker = spot.worker;
            *per_worker.entry(worker).or_default() += 1;
            let number = self.next_run(unit.job, unit.occurrence, unit.step);
            self.start_run((unit.job, unit.occurrence, unit.step, index), number, worker, now_ms);
        }
        true
    }

    /// Returns whether a worker may run a step at all.
    pub(super) fn takes(&self, spot: &Spot, spec: &Job, shape: &Step) -> bool {
        let has_label = |label: &CompactString| {
            self.workers
                .get(spot.worker)
                .is_some_and(|worker| worker.entry.labels.contains(label))
        };
        spot.service == spec.service
            && shape.required_label.as_ref().is_none_or(has_label)
            && !(shape.is_filler && self.is_pressed(spot.worker))
    }

    pub(super) fn tasks_per_worker(&self, unit: &Unit) -> HashMap<WorkerKey, u32> {
        let state = &self.jobs[unit.job].occurrences[&unit.occurrence].steps[unit.step as usize];
        let mut counts = HashMap::new();
        for run in state.active.iter().flatten().filter_map(|key| self.runs.get(*key)) {
            *counts.entry(run.worker).or_default() += 1;
        }
        counts
    }

    /// Returns whether work may run away from its data or spread over racks: it waited as long as that costs.
    fn may_be_remote(&self, unit: &Unit, spec: &Job, shape: &Step, now_ms: u64) -> bool {
        if shape.data_rack.is_none() && !shape.is_same_rack {
            return true;
        }
        let state = &self.jobs[unit.job].occurrences[&unit.occurrence].steps[unit.step as usize];
        let waited_ms = now_ms.saturating_sub(state.ready_since_ms.unwrap_or(now_ms));
        let extra_ms = (self.expected_ms(spec, unit.step) as f64 * (self.limits.remote_factor - 1.0)) as u64;
        waited_ms > extra_ms
    }

    /// Finds workers for a whole gang.
    fn plan_gang(&self, unit: &Unit, spec: &Job, shape: &Step, spots: &[Spot], now_ms: u64) -> Option<Vec<Share>> {
        let is_advised = self.is_advised(unit);
        let usable: Vec<_> = (0..spots.len())
            .filter(|spot| shape.charged().fits(&spots[*spot].free) && spots[*spot].is_open_to(unit))
            .filter(|spot| self.takes(&spots[*spot], spec, shape))
            .filter(|spot| !is_advised || self.is_permitted(unit, spots[*spot].worker, now_ms))
            .collect();
        // Doubtful workers come last.
        let doubtful = self.doubtful_workers(unit, shape, now_ms);
        if !doubtful.is_empty() {
            let others: Vec<_> = usable
                .iter()
                .copied()
                .filter(|spot| !doubtful.contains(&spots[*spot].worker))
                .collect();
            let is_bound = shape.is_same_rack || shape.data_rack.is_some();
            let plan = if is_bound {
                best_rack(shape, &others, spots)
            } else {
                pack(shape, &others, spots)
            };
            if plan.is_some() {
                return plan;
            }
        }
        if !shape.is_same_rack && shape.data_rack.is_none() {
            return pack(shape, &usable, spots);
        }
        if let Some(plan) = best_rack(shape, &usable, spots) {
            return Some(plan);
        }
        let fits_some_rack = self.fits_some_rack(spec, shape);
        if fits_some_rack && !self.may_be_remote(unit, spec, shape, now_ms) {
            return None;
        }
        pack(shape, &usable, spots)
    }

    /// Returns whether a rack could hold the gang if it were empty.
    fn fits_some_rack(&self, spec: &Job, shape: &Step) -> bool {
        let mut racks: HashMap<&CompactString, u64> = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            let has_label = shape
                .required_label
                .as_ref()
                .is_none_or(|label| worker.entry.labels.contains(label));
            if worker.entry.service == spec.service && has_label {
                *racks.entry(&worker.entry.rack).or_default() += share_of(shape, &worker.entry.capacity);
            }
        }
        racks.values().any(|tasks| *tasks >= u64::from(shape.count))
    }

    fn start_gang(&mut self, unit: &Unit, shape: &Step, plan: &[Share], spots: &mut [Spot], now_ms: u64) {
        let number = self.next_run(unit.job, unit.occurrence, unit.step);
        if let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) {
            state.gang_run = Some(number);
        }
        let mut index = 0;
        for share in plan {
            let spot = &mut spots[share.spot];
            for _ in 0..share.tasks {
                spot.free = spot.free.minus(&shape.charged());
                self.start_run(
                    (unit.job, unit.occurrence, unit.step, index),
                    number,
                    spot.worker,
                    now_ms,
                );
                index += 1;
            }
        }
    }

    /// Keeps the rack that is closest to holding a blocked gang from later units; returns whether it did.
    fn reserve(&self, unit: &Unit, spots: &mut [Spot]) -> bool {
        let spec = &self.jobs[unit.job].spec;
        let shape = &spec.steps[unit.step as usize];
        if !shape.is_gang || shape.count < 2 {
            return false;
        }
        let mut racks: HashMap<CompactString, (u64, u64)> = HashMap::new();
        for spot in spots
            .iter()
            .filter(|spot| spot.is_open_to(unit) && self.takes(spot, spec, shape))
        {
            let (now, empty) = racks.entry(spot.rack.clone()).or_default();
            *now += share_of(shape, &spot.free);
            *empty += share_of(shape, &spot.capacity);
        }
        let best = racks
            .iter()
            .filter(|(_, (_, empty))| *empty >= u64::from(shape.count))
            .max_by_key(|(rack, (now, _))| (*now, (*rack).clone()))
            .map(|(rack, _)| rack.clone());
        let Some(rack) = best else { return false };
        for spot in spots.iter_mut().filter(|spot| spot.rack == rack) {
            spot.kept_for.get_or_insert(unit.key());
        }
        true
    }
}

pub(super) fn has_share_left(shape: &Step, on_worker: Option<&u32>) -> bool {
    shape.max_per_worker == 0 || on_worker.copied().unwrap_or(0) < shape.max_per_worker
}

/// Returns how many tasks of a step fit into `room`.
pub(super) fn share_of(shape: &Step, room: &Resources) -> u64 {
    let most = if shape.max_per_worker == 0 {
        shape.count
    } else {
        shape.max_per_worker
    };
    shape.charged().times_in(room).min(u64::from(most))
}

/// Puts the gang on the fullest of the given spots that hold it.
fn pack(shape: &Step, usable: &[usize], spots: &[Spot]) -> Option<Vec<Share>> {
    let mut order: Vec<_> = usable
        .iter()
        .map(|spot| (*spot, share_of(shape, &spots[*spot].free)))
        .filter(|(_, tasks)| *tasks > 0)
        .collect();
    // Data first, then the fullest workers, so that empty ones stay whole for wide work.
    order.sort_by_key(|(spot, _)| {
        let spot = &spots[*spot];
        let is_remote = shape.data_rack.as_ref().is_some_and(|rack| *rack != spot.rack);
        (is_remote, spot.free.accelerators, spot.free.memory_mib)
    });
    let mut left = u64::from(shape.count);
    let mut plan = Vec::new();
    for (spot, tasks) in order {
        let tasks = tasks.min(left);
        if tasks > 0 {
            plan.push(Share {
                spot,
                tasks: tasks as u32,
            });
            left -= tasks;
        }
    }
    (left == 0).then_some(plan)
}

/// Puts the gang into one rack: that of its data if it has one, else the fullest that holds it.
fn best_rack(shape: &Step, usable: &[usize], spots: &[Spot]) -> Option<Vec<Share>> {
    let mut racks: HashMap<&CompactString, Vec<usize>> = HashMap::new();
    for spot in usable {
        racks.entry(&spots[*spot].rack).or_default().push(*spot);
    }
    racks
        .into_iter()
        .filter(|(rack, _)| shape.data_rack.as_ref().is_none_or(|data| data == *rack))
        .filter_map(|(rack, members)| {
            let free: u64 = members.iter().map(|spot| spots[*spot].free.accelerators).sum();
            Some((free, rack, pack(shape, &members, spots)?))
        })
        .min_by_key(|(free, rack, _)| (*free, (*rack).clone()))
        .map(|(_, _, plan)| plan)
}
