use std::collections::HashMap;

use compact_str::CompactString;

use super::aged_work::AgedReservations;
use super::candidate::Candidate;
use super::handled_job::Handled;
use super::health::is_last_resort;
use super::keys::WorkerKey;
use super::queue::{PlacementUnit, PlacementUnitKey};
use super::{Engine, Worker};
use crate::{EntryState, Job, Resources, Step};

/// Why a worker gets no new tasks at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Barrier {
    /// It is not listed or not recorded, or has not reported in this epoch or incarnation.
    Unreported,
    /// It drains, awaits maintenance, or its data centre is out of service.
    Leaving,
    /// Its last reply is too old, or the row about its last runs is not removed yet.
    Silent,
    /// It holds a run of a suspect task on probation, or runs of unknown size.
    Isolated,
    /// It refused a command a moment ago.
    Refusing,
    /// It failed or delayed its runs.
    Excluded,
}

/// Workers reserved for a unit after other runs were stopped for it.
#[derive(Debug, Clone)]
pub(super) struct PreemptionReservation {
    pub unit: PlacementUnitKey,
    pub workers: Vec<WorkerKey>,
    pub until_ms: u64,
}

/// Placement of waiting tasks on workers.
impl Engine {
    /// Longest time since the last reply of a worker that gets new tasks: the wait of one renewal plus a margin.
    const MAX_REPLY_AGE_MS: u64 = Self::RENEW_WAIT_MS + 500;

    /// Maximum number of blocked gangs for which a rack is reserved in one pass.
    const MAX_RESERVED_RACKS: usize = 2;

    /// Maximum number of units for which preemption is attempted in one pass; each attempt scans all runs.
    pub(super) const MAX_PREEMPTIONS: usize = 4;

    /// Units at the head of the queue that every pass evaluates.
    const FIRST_UNITS: usize = 100;

    /// Further units in one pass. Successive passes rotate through the rest of a long queue, which bounds the processor
    /// time of a pass and prevents starvation behind work that cannot be placed.
    const NEXT_UNITS: usize = 100;

    /// Returns why a worker gets no new tasks at present; `None` if it may.
    pub(super) fn barrier(&self, worker: &Worker, now_ms: u64) -> Option<Barrier> {
        let is_leaving = worker.entry.state != EntryState::Ready
            || self.waves.is_cordoned(&worker.entry.id)
            || self.out_of_service.contains(&worker.entry.data_centre);
        if !worker.is_listed || !worker.is_recorded || !worker.is_fenced || worker.is_restart_pending {
            Some(Barrier::Unreported)
        } else if is_leaving {
            Some(Barrier::Leaving)
        } else if worker.unresponsive_since_ms.is_some()
            || now_ms >= worker.last_reply_ms + Self::MAX_REPLY_AGE_MS
            || self.last_runs.may_limit_leases(&worker.entry.id)
        {
            Some(Barrier::Silent)
        } else if worker.runs_of_unknown_need > 0 || worker.isolated_runs > 0 {
            Some(Barrier::Isolated)
        } else if now_ms < worker.refuses_until_ms {
            Some(Barrier::Refusing)
        } else if now_ms < worker.excluded_until_ms {
            Some(Barrier::Excluded)
        } else {
            None
        }
    }

    /// Places the units that fit, in queue order.
    pub(super) fn place_all(&mut self, now_ms: u64) {
        self.reserved_racks.clear();
        let mut units = self.ready_units(now_ms);
        let ready = self.set_aside_held_units(&mut units, now_ms);
        if units.is_empty() {
            return;
        }
        let mut candidates = self.candidates(now_ms);
        let mut reserved_racks = 0;
        let mut preemptions = 0;
        let mut next_call = None;
        let mut aged_reservations = AgedReservations::default();
        for unit in self.units_of_pass(units) {
            self.handled = Handled::Job(unit.job);
            if self.awaits_hints(&unit, &candidates, &mut next_call, now_ms) {
                continue;
            }
            if self.place_in_turn(&unit, &mut candidates, now_ms) {
                self.reservations.retain(|reservation| reservation.unit != unit.key());
                continue;
            }
            // Other work gives no way to what a maximum holds back, nor to a task that may crash its worker once more.
            if unit.most_tasks < u32::MAX || self.is_held_by_maximum(&unit) || unit.has_suspects {
                continue;
            }
            if unit.priority == 0 && preemptions < Self::MAX_PREEMPTIONS && !self.is_taking_over(now_ms) {
                preemptions += usize::from(self.preempt_for(&unit, &candidates, now_ms));
            }
            if reserved_racks < Self::MAX_RESERVED_RACKS && self.reserve_rack(&unit, &mut candidates) {
                reserved_racks += 1;
            }
            self.reserve_worker(&unit, &mut candidates, &mut aged_reservations, now_ms);
        }
        self.handled = Handled::Nothing;
        self.note_held_units(&ready, now_ms);
        if let Some(call) = next_call {
            self.send_hint_call(call, now_ms);
        }
    }

    /// Returns the head of the queue and the next slice of the rest, in queue order.
    fn units_of_pass(&mut self, units: Vec<PlacementUnit>) -> Vec<PlacementUnit> {
        if units.len() <= Self::FIRST_UNITS + Self::NEXT_UNITS {
            return units;
        }
        let from = Self::FIRST_UNITS.max(self.next_unit % units.len());
        let to = (from + Self::NEXT_UNITS).min(units.len());
        self.next_unit = to;
        let first = units[..Self::FIRST_UNITS].iter();
        first.chain(&units[from..to]).copied().collect()
    }

    /// Returns whether workers have yet to reply to a new scheduler, so that capacity may appear without preemption.
    fn is_taking_over(&self, now_ms: u64) -> bool {
        const TAKEOVER_MS: u64 = 500;
        now_ms < self.took_over_ms + TAKEOVER_MS
            && self
                .workers
                .values()
                .any(|worker| worker.is_listed && !worker.is_fenced)
    }

    /// Starts the tasks of a unit that fit. If none does and the unit is overdue, starts one, or the gang, without regard
    /// to reservations, exclusions and racks. Returns whether no task is left waiting.
    fn place_in_turn(&mut self, unit: &PlacementUnit, candidates: &mut [Candidate], now_ms: u64) -> bool {
        let in_order = PlacementUnit {
            is_overdue: false,
            ..*unit
        };
        let waiting = self.idle_tasks_of(unit);
        if self.place_unit(&in_order, candidates, now_ms) {
            return true;
        }
        if !unit.is_overdue || self.idle_tasks_of(unit) < waiting {
            return false;
        }
        self.place_unit(unit, candidates, now_ms);
        let left = self.idle_tasks_of(unit);
        if left < waiting {
            self.stats.overdue_starts += 1;
            self.log_lines.push(format!(
                "overdue_start job={} occurrence={} step={}",
                self.jobs[unit.job].spec.id, unit.occurrence, unit.step
            ));
        }
        left == 0
    }

    fn idle_tasks_of(&self, unit: &PlacementUnit) -> u32 {
        self.jobs[unit.job].occurrences[&unit.occurrence].steps[unit.step as usize].idle_count()
    }

    /// Starts the tasks of a unit that fit, at most one if it is overdue and no gang; returns whether none of these is
    /// left waiting.
    fn place_unit(&mut self, unit: &PlacementUnit, candidates: &mut [Candidate], now_ms: u64) -> bool {
        let spec = std::rc::Rc::clone(&self.jobs[unit.job].spec);
        let shape = &spec.steps[unit.step as usize];
        let room = self.room_under_maximum(&spec, shape).min(u64::from(unit.most_tasks)) as usize;
        if shape.is_gang {
            let plan = (room > 0).then(|| self.plan_gang(unit, &spec, shape, candidates, now_ms));
            let Some(plan) = plan.flatten() else {
                return false;
            };
            self.start_gang(unit, shape, &plan, candidates, now_ms);
            return true;
        }
        let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) else {
            return true;
        };
        let (suspects, mut others): (Vec<u32>, Vec<u32>) = state.idle().partition(|index| state.is_suspect(*index));
        let mut suspects: Vec<u32> = suspects
            .into_iter()
            .filter(|index| !state.is_held(*index, now_ms))
            .collect();
        if unit.is_overdue {
            others.truncate(1);
            suspects.truncate(1 - others.len());
        }
        let are_all_admitted = unit.is_overdue || others.len() + suspects.len() <= room;
        others.truncate(room);
        suspects.truncate(room - others.len());
        let are_others_placed = self.place_tasks(unit, &spec, &others, false, candidates, now_ms);
        let are_suspects_placed = self.place_tasks(unit, &spec, &suspects, true, candidates, now_ms);
        are_others_placed && are_suspects_placed && are_all_admitted
    }

    /// Starts the given tasks of a step that is no gang, as far as they fit; returns whether none is left waiting.
    fn place_tasks(
        &mut self,
        unit: &PlacementUnit,
        spec: &Job,
        tasks: &[u32],
        are_suspects: bool,
        candidates: &mut [Candidate],
        now_ms: u64,
    ) -> bool {
        if tasks.is_empty() {
            return true;
        }
        let shape = &spec.steps[unit.step as usize];
        let mut order = self
            .best_fit_order(unit, spec, are_suspects, candidates, now_ms)
            .into_iter();
        let mut per_worker = self.tasks_per_worker(unit);
        let mut current = order.next();
        for index in tasks {
            // The tasks of a step are alike, and a task makes its worker an even closer fit for the next one.
            let best = loop {
                let Some(best) = current else { return false };
                let candidate = &candidates[best];
                if shape.charged().fits(&candidate.free)
                    && is_below_worker_limit(shape, per_worker.get(&candidate.worker))
                {
                    break best;
                }
                current = order.next();
            };
            let candidate = &mut candidates[best];
            candidate.free = candidate.free.minus(&shape.charged());
            if are_suspects {
                candidate.isolated_for = Some(unit.key());
            }
            let worker = candidate.worker;
            *per_worker.entry(worker).or_default() += 1;
            let number = self.next_run(unit.job, unit.occurrence, unit.step);
            self.start_run(unit.task(*index), number, worker, now_ms);
        }
        true
    }

    /// Returns the candidates that can hold a task of a unit, in the order in which they should be filled: the fullest
    /// first, so that empty workers stay free for wide gangs, but the emptiest first for tasks that may crash them.
    fn best_fit_order(
        &self,
        unit: &PlacementUnit,
        spec: &Job,
        are_suspects: bool,
        candidates: &[Candidate],
        now_ms: u64,
    ) -> Vec<usize> {
        let shape = &spec.steps[unit.step as usize];
        let need = shape.charged();
        let speed_need = self.speed_need(unit, spec, now_ms);
        let rank = |left: u64| if are_suspects { u64::MAX - left } else { left };
        let requires_ticket = self.requires_ticket(unit);
        let may_be_remote = self.may_be_remote(unit, spec, shape, now_ms);
        let failed_on = self.failed_workers(unit);
        // A crash of a worker that crashes by itself would count against the task.
        let avoids_crashed = are_suspects
            && !unit.is_overdue
            && candidates
                .iter()
                .any(|candidate| !candidate.has_crashed && self.is_eligible(candidate, spec, shape));
        let mut order: Vec<_> = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| self.can_hold_task(candidate, unit, spec, shape))
            // An excluded worker on which the unit failed would most likely fail it again.
            .filter(|(_, candidate)| {
                unit.is_long_overdue() || !(candidate.is_excluded && failed_on.contains(&candidate.worker))
            })
            .filter(|(_, candidate)| !(avoids_crashed && candidate.has_crashed))
            .filter(|(_, candidate)| !are_suspects || self.is_open_to_suspects(candidate, unit))
            .filter(|(_, candidate)| !requires_ticket || self.is_permitted(unit, candidate.worker, now_ms))
            .map(|(index, candidate)| {
                let left = candidate.free.minus(&need);
                let is_remote = shape.data_rack.as_ref().is_some_and(|rack| *rack != candidate.rack);
                let key = (
                    candidate.is_excluded,
                    candidate.is_withheld_from(unit),
                    is_last_resort(unit, shape, candidate, &failed_on),
                    is_remote,
                    self.speed_rank(candidate.worker, speed_need),
                    rank(left.accelerators),
                    rank(left.memory_mib),
                    rank(left.cpu_milli),
                );
                (key, index)
            })
            .filter(|((_, _, _, is_remote, ..), _)| may_be_remote || !is_remote)
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns whether a worker has room for a task of a unit and may run it, tickets aside.
    pub(super) fn can_hold_task(&self, candidate: &Candidate, unit: &PlacementUnit, spec: &Job, shape: &Step) -> bool {
        shape.charged().fits(&candidate.free) && candidate.is_open_to(unit) && self.is_eligible(candidate, spec, shape)
    }

    /// Returns whether a worker may run a step, regardless of its free capacity.
    pub(super) fn is_eligible(&self, candidate: &Candidate, spec: &Job, shape: &Step) -> bool {
        let has_label = |label: &CompactString| {
            self.workers
                .get(candidate.worker)
                .is_some_and(|worker| !worker.is_entry_outdated() && worker.entry.labels.contains(label))
        };
        candidate.service == spec.service
            && shape.required_label.as_ref().is_none_or(has_label)
            && !(shape.is_filler && self.is_near_latency_target(candidate.worker))
    }

    pub(super) fn tasks_per_worker(&self, unit: &PlacementUnit) -> HashMap<WorkerKey, u32> {
        let state = &self.jobs[unit.job].occurrences[&unit.occurrence].steps[unit.step as usize];
        let mut counts = HashMap::new();
        for run in state.active.iter().flatten().filter_map(|key| self.runs.get(*key)) {
            *counts.entry(run.worker).or_default() += 1;
        }
        counts
    }

    /// Returns whether a rack has a worker that can hold a task of a step once all has ended that ends by itself.
    fn may_fit_in_rack(&self, rack: &CompactString, spec: &Job, shape: &Step) -> bool {
        self.workers.values().any(|worker| {
            let entry = &worker.entry;
            let has_label = |label: &CompactString| entry.labels.contains(label);
            worker.is_listed
                && entry.rack == *rack
                && entry.service == spec.service
                && shape.required_label.as_ref().is_none_or(has_label)
                && shape.charged().fits(&worker.drained_capacity())
        })
    }

    /// Returns whether work may run away from its data or over several racks: the rack of its data cannot hold it, or it is
    /// overdue, or it waited longer than the extra run time.
    pub(super) fn may_be_remote(&self, unit: &PlacementUnit, spec: &Job, shape: &Step, now_ms: u64) -> bool {
        if unit.is_overdue || (shape.data_rack.is_none() && !shape.is_same_rack) {
            return true;
        }
        if shape
            .data_rack
            .as_ref()
            .is_some_and(|rack| !self.may_fit_in_rack(rack, spec, shape))
        {
            return true;
        }
        let state = &self.jobs[unit.job].occurrences[&unit.occurrence].steps[unit.step as usize];
        let waited_ms = now_ms.saturating_sub(state.ready_since_ms.unwrap_or(now_ms));
        let extra_ms = (self.expected_ms(spec, unit.step) as f64 * (self.limits.remote_factor - 1.0)) as u64;
        waited_ms > extra_ms
    }
}

pub(super) fn is_below_worker_limit(shape: &Step, on_worker: Option<&u32>) -> bool {
    shape.max_per_worker == 0 || on_worker.copied().unwrap_or(0) < shape.max_per_worker
}

/// Returns how many tasks of a step fit into `free`.
pub(super) fn tasks_that_fit(shape: &Step, free: &Resources) -> u64 {
    let most = if shape.max_per_worker == 0 {
        shape.count
    } else {
        shape.max_per_worker
    };
    shape.charged().times_in(free).min(u64::from(most))
}
