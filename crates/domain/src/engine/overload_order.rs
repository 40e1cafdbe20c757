use std::collections::{BTreeMap, HashMap, HashSet};

use compact_str::CompactString;
use overload::{Capacity, Standing, WaitingWork};

use super::Engine;
use super::keys::JobKey;
use super::queue::{PlacementUnit, PlacementUnitKey};
use crate::{Resources, Step};

/// What is known of the load from the last placement pass. It is derived from the state of the jobs, except that a new
/// scheduler does not know which running work was started because it had aged.
#[derive(Debug, Clone, Default)]
pub(super) struct OverloadState {
    /// Standing of each unit that waits for a service without enough capacity.
    standings: HashMap<PlacementUnitKey, Standing>,
    /// Units that were first in the order because they had aged, while they run.
    aged: HashSet<PlacementUnitKey>,
    /// Services as last logged: whether capacity is insufficient, and when that was logged.
    logged: BTreeMap<CompactString, (bool, u64)>,
}

/// Waiting work and capacity of a service.
#[derive(Debug, Clone, Default)]
struct ServiceLoad {
    /// Indices of its units, in queue order.
    units: Vec<usize>,
    demand: Resources,
    free: Resources,
    /// Capacity without what lasting work holds.
    capacity: Resources,
}

/// Waiting work of a service in resource-milliseconds, and in core-milliseconds with accelerators at their price.
#[derive(Debug, Clone, Copy, Default)]
struct Backlog {
    cpu: f64,
    memory: f64,
    accelerators: f64,
    core_ms: f64,
}

impl Backlog {
    fn add(&mut self, need: &Resources, task_ms: f64) {
        self.cpu += need.cpu_milli as f64 * task_ms;
        self.memory += need.memory_mib as f64 * task_ms;
        self.accelerators += need.accelerators as f64 * task_ms;
        self.core_ms += need.weight_milli() as f64 * task_ms / 1_000.0;
    }

    /// Returns the time that the capacity takes for the work, as given by the scarcest resource.
    fn drain_ms(&self, capacity: &Resources) -> f64 {
        let parts = [
            (self.cpu, capacity.cpu_milli),
            (self.memory, capacity.memory_mib),
            (self.accelerators, capacity.accelerators),
        ];
        let parts = parts.into_iter().filter(|(_, capacity)| *capacity > 0);
        parts.map(|(work, capacity)| work / capacity as f64).fold(0.0, f64::max)
    }
}

/// Order of waiting work when capacity is insufficient.
impl Engine {
    /// Shortest interval between log lines about the load of a service.
    const LOAD_LOG_INTERVAL_MS: u64 = 1_000;

    /// Changes the queue order of the units of each service for which more work waits than its free capacity holds.
    /// Units only change places with units of the same service and priority.
    pub(super) fn order_under_load(&mut self, units: &mut [PlacementUnit], now_ms: u64) {
        self.overload.standings.clear();
        self.stats.standings = [0; Standing::ALL.len()];
        self.stats.backlog_ms = Default::default();
        if !self.limits.weighs_delays {
            return;
        }
        let loads = self.service_loads(units, now_ms);
        self.prune_aged();
        for (service, load) in &loads {
            let is_overloaded = !load.demand.fits(&load.free);
            if is_overloaded {
                self.order_service(service, load, units, now_ms);
            }
            self.log_load(service, load, units, is_overloaded, now_ms);
        }
        let ended: Vec<_> = self
            .overload
            .logged
            .keys()
            .filter(|service| !loads.contains_key(*service))
            .cloned()
            .collect();
        for service in ended {
            self.log_load(&service, &ServiceLoad::default(), units, false, now_ms);
        }
    }

    /// Returns the standing of a step in the last pass, if it waited for a service without enough capacity.
    pub(super) fn standing_of(&self, job: JobKey, occurrence: u32, step: u32) -> Option<Standing> {
        let key = PlacementUnitKey::new(job, occurrence, step);
        self.overload.standings.get(&key).copied()
    }

    fn service_loads(&self, units: &[PlacementUnit], now_ms: u64) -> BTreeMap<CompactString, ServiceLoad> {
        let mut loads: BTreeMap<CompactString, ServiceLoad> = BTreeMap::new();
        for (index, unit) in units.iter().enumerate() {
            let service = &self.jobs[unit.job].spec.service;
            if !loads.contains_key(service) {
                loads.insert(service.clone(), ServiceLoad::default());
            }
            let Some(load) = loads.get_mut(service) else { continue };
            let (shape, tasks) = self.waiting_tasks(unit);
            load.units.push(index);
            load.demand = load.demand.plus(&times(&shape.charged(), tasks));
        }
        if loads.is_empty() {
            return loads;
        }
        for worker in self.workers.values() {
            let Some(load) = loads.get_mut(&worker.entry.service) else {
                continue;
            };
            if self.barrier(worker, now_ms).is_none() {
                load.free = load.free.plus(&worker.entry.capacity.left_beside(&worker.used));
                load.capacity = load.capacity.plus(&worker.drained_capacity());
            }
        }
        loads
    }

    fn order_service(&mut self, service: &CompactString, load: &ServiceLoad, units: &mut [PlacementUnit], now_ms: u64) {
        let mut all = Backlog::default();
        let mut of_priority: BTreeMap<u32, Backlog> = BTreeMap::new();
        for unit in load
            .units
            .iter()
            .map(|index| &units[*index])
            .filter(|unit| !unit.is_lasting)
        {
            let (shape, tasks) = self.waiting_tasks(unit);
            let task_ms = tasks as f64 * self.expected_ms(&self.jobs[unit.job].spec, unit.step) as f64;
            all.add(&shape.charged(), task_ms);
            of_priority
                .entry(unit.priority)
                .or_default()
                .add(&shape.charged(), task_ms);
        }
        for (priority, backlog) in &of_priority {
            let last = self.stats.backlog_ms.len() - 1;
            self.stats.backlog_ms[(*priority as usize).min(last)] += backlog.drain_ms(&load.capacity) as u64;
        }
        let drain_ms = all.drain_ms(&load.capacity);
        if drain_ms <= 0.0 {
            return;
        }
        let mut capacity = Capacity {
            now_ms,
            // The scarcest resource limits how much of the others is used.
            cores: all.core_ms / drain_ms,
            ahead_core_ms: 0.0,
            aged_cores: self.aged_cores(service),
        };
        let mut guaranteed: HashMap<CompactString, bool> = HashMap::new();
        let mut from = 0;
        while from < load.units.len() {
            let class = units[load.units[from]].class();
            let len = load.units[from..]
                .iter()
                .take_while(|index| units[**index].class() == class)
                .count();
            let places = &load.units[from..from + len];
            from += len;
            let class_units: Vec<PlacementUnit> = places.iter().map(|index| units[*index]).collect();
            let (kept, movable): (Vec<PlacementUnit>, Vec<PlacementUnit>) = class_units
                .into_iter()
                .partition(|unit| self.keeps_place(unit, &mut guaranteed));
            let kept_core_ms: f64 = kept
                .iter()
                .map(|unit| self.waiting_work(unit, now_ms).work_core_ms)
                .sum();
            capacity.ahead_core_ms += kept_core_ms;
            let work: Vec<WaitingWork> = movable.iter().map(|unit| self.waiting_work(unit, now_ms)).collect();
            let order = overload::order(&work, &capacity);
            capacity.ahead_core_ms += work.iter().map(|work| work.work_core_ms).sum::<f64>();
            for (index, standing) in &order {
                let unit = &movable[*index];
                self.stats.standings[*standing as usize] += 1;
                self.overload.standings.insert(unit.key(), *standing);
                if *standing == Standing::Aged && self.overload.aged.insert(unit.key()) {
                    capacity.aged_cores += work[*index].cores;
                }
            }
            let ordered = kept.into_iter().chain(order.iter().map(|(index, _)| movable[*index]));
            for (place, unit) in places.iter().zip(ordered) {
                units[*place] = unit;
            }
        }
    }

    /// Returns whether a unit goes before all others of its priority as without load: it lasts, is overdue, or is within
    /// its organisation's guarantee.
    fn keeps_place(&self, unit: &PlacementUnit, guaranteed: &mut HashMap<CompactString, bool>) -> bool {
        if unit.is_lasting || unit.is_overdue {
            return true;
        }
        if unit.priority != 0 {
            return false;
        }
        let organisation = &self.jobs[unit.job].spec.organisation;
        if let Some(is_guaranteed) = guaranteed.get(organisation) {
            return *is_guaranteed;
        }
        let is_guaranteed = self.is_within_guarantee(organisation);
        guaranteed.insert(organisation.clone(), is_guaranteed);
        is_guaranteed
    }

    fn waiting_work(&self, unit: &PlacementUnit, now_ms: u64) -> WaitingWork {
        let (shape, tasks) = self.waiting_tasks(unit);
        let cores = tasks as f64 * shape.charged().weight_milli() as f64 / 1_000.0;
        let objective_end_ms = unit.due_ms + unit.objective_ms;
        let late_end_ms = unit.due_ms + unit.objective_ms * Self::LATE_FACTOR;
        WaitingWork {
            work_core_ms: if unit.is_lasting {
                0.0
            } else {
                cores * self.expected_ms(&self.jobs[unit.job].spec, unit.step) as f64
            },
            cores,
            expected_end_ms: now_ms + unit.critical_path_ms,
            objective_end_ms,
            late_end_ms,
            objective_ms: unit.objective_ms,
            age_ms: now_ms.saturating_sub(unit.due_ms),
        }
    }

    fn waiting_tasks(&self, unit: &PlacementUnit) -> (&Step, u64) {
        let job = &self.jobs[unit.job];
        let state = &job.occurrences[&unit.occurrence].steps[unit.step as usize];
        (&job.spec.steps[unit.step as usize], u64::from(state.idle_count()))
    }

    /// Forgets the units that had aged and have nothing running.
    fn prune_aged(&mut self) {
        let jobs = &self.jobs;
        self.overload.aged.retain(|key| active_cores(jobs, *key) > 0.0);
    }

    /// Returns the capacity that the aged work of a service holds.
    fn aged_cores(&self, service: &CompactString) -> f64 {
        let of_service =
            |key: &&PlacementUnitKey| self.jobs.get(key.job()).is_some_and(|job| job.spec.service == *service);
        let aged = self.overload.aged.iter().filter(of_service);
        aged.map(|key| active_cores(&self.jobs, *key)).sum()
    }

    /// Logs when capacity of a service becomes insufficient or sufficient again, at most once in an interval.
    fn log_load(
        &mut self,
        service: &CompactString,
        load: &ServiceLoad,
        units: &[PlacementUnit],
        is_overloaded: bool,
        now_ms: u64,
    ) {
        let (was_overloaded, logged_ms) = self.overload.logged.get(service).copied().unwrap_or_default();
        let is_recent = logged_ms > 0 && now_ms < logged_ms + Self::LOAD_LOG_INTERVAL_MS;
        if is_overloaded == was_overloaded || is_recent {
            return;
        }
        self.overload.logged.insert(service.clone(), (is_overloaded, now_ms));
        let mut line = format!(
            "overload service={service} is_overloaded={is_overloaded} units={}",
            load.units.len()
        );
        if is_overloaded {
            for standing in Standing::ALL {
                let of_standing =
                    |index: &&usize| self.overload.standings.get(&units[**index].key()) == Some(&standing);
                let count = load.units.iter().filter(of_standing).count();
                line.extend([" ", standing.code(), "=", count.to_string().as_str()]);
            }
        }
        self.log_lines.push(line);
    }
}

/// Returns the cores that the active tasks of a step take.
fn active_cores(jobs: &slotmap::SlotMap<JobKey, super::JobEntry>, key: PlacementUnitKey) -> f64 {
    let (number, step) = key.step();
    let Some(job) = jobs.get(key.job()) else { return 0.0 };
    let Some(occurrence) = job.occurrences.get(&number) else {
        return 0.0;
    };
    let active = f64::from(occurrence.steps[step as usize].active_count);
    active * job.spec.steps[step as usize].charged().weight_milli() as f64 / 1_000.0
}

const fn times(need: &Resources, count: u64) -> Resources {
    Resources {
        cpu_milli: need.cpu_milli * count,
        memory_mib: need.memory_mib * count,
        accelerators: need.accelerators * count,
    }
}
