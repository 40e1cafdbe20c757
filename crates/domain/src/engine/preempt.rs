use std::collections::HashMap;

use super::candidate::Candidate;
use super::health::is_last_resort;
use super::keys::{RunKey, WorkerKey};
use super::place::PreemptionReservation;
use super::queue::{PlacementUnit, PlacementUnitKey};
use super::victim_cost::VictimTimesCache;
use super::victims::{Host, Preemption, Victim, choose_victims};
use super::{Engine, RunState};
use crate::Step;

/// Preemption for work of priority 0.
impl Engine {
    /// Shortest interval between preemptions for one step; stops take this long to be reported.
    pub(super) const PREEMPT_PAUSE_MS: u64 = 400;

    /// Delay before preemption is attempted again for a step for which it was too costly.
    const PREEMPT_RECHECK_MS: u64 = 100;

    /// Time until the end of a stopped run is reported and its capacity is given to the unit.
    pub(super) const STOP_REPORT_MS: u64 = 100;

    /// Time for which workers are reserved for a unit after preemption.
    const RESERVATION_MS: u64 = 1_000;

    /// Returns whether the open jobs of priority 0 of an organisation need no more than its guarantee.
    pub(super) fn is_within_guarantee(&self, organisation: &str) -> bool {
        let guaranteed = self
            .config
            .organisations
            .iter()
            .find(|known| known.name == organisation)
            .map_or(0, |known| known.guaranteed_accelerators);
        let needed: u64 = self
            .jobs
            .values()
            .filter(|job| job.spec.priority == 0 && job.spec.organisation == organisation && !job.is_final())
            .map(|job| {
                let accelerators = |step: &Step| step.need.accelerators * u64::from(step.count);
                job.spec.steps.iter().map(accelerators).max().unwrap_or(0)
            })
            .sum();
        needed <= guaranteed
    }

    /// Stops work of lower priority so that a unit fits; the unit starts when the stopped runs are reported as ended.
    /// Returns whether victims were searched for.
    pub(super) fn preempt_for(&mut self, unit: &PlacementUnit, candidates: &[Candidate], now_ms: u64) -> bool {
        let spec = std::rc::Rc::clone(&self.jobs[unit.job].spec);
        let shape = &spec.steps[unit.step as usize];
        let room = self.room_under_maximum(&spec, shape);
        let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) else {
            return false;
        };
        let needed = u64::from(state.idle_count()).min(room);
        if now_ms < state.preemption_attempt_ms + Self::PREEMPT_PAUSE_MS {
            return false;
        }
        state.preemption_attempt_ms = now_ms;
        let usable: Vec<_> = candidates
            .iter()
            .filter(|candidate| candidate.is_open_to(unit) && self.is_eligible(candidate, &spec, shape))
            .collect();
        let failed_on = self.failed_workers(unit);
        let healthy: Vec<_> = usable
            .iter()
            .copied()
            .filter(|candidate| !is_last_resort(unit, shape, candidate, &failed_on))
            .collect();
        let speed_need = self.speed_need(unit, &spec, now_ms);
        let is_fast_enough = |candidate: &&Candidate| self.speed_rank(candidate.worker, speed_need).miss == 0;
        let fast: Vec<_> = healthy.iter().copied().filter(is_fast_enough).collect();
        let mut preemption = self.cheapest_victims(unit, shape, needed, &fast, now_ms);
        let work = self.expected_work(&spec, unit.step, needed);
        let is_affordable = preemption.as_ref().is_some_and(|preemption| preemption.cost <= work);
        if !is_affordable && fast.len() < healthy.len() {
            let other = self.cheapest_victims(unit, shape, needed, &healthy, now_ms);
            let other = other.filter(|other| preemption.as_ref().is_none_or(|fast| other.cost < fast.cost));
            preemption = other.or(preemption);
        }
        if preemption.is_none() && healthy.len() < usable.len() {
            preemption = self.cheapest_victims(unit, shape, needed, &usable, now_ms);
        }
        let Some(preemption) = preemption else { return true };
        let is_guaranteed = self.is_within_guarantee(&spec.organisation);
        if preemption.unsaved_core_ms > self.expected_work(&spec, unit.step, needed) {
            // Stopping would lose more work than the unit needs. Work beyond the guarantee waits for free capacity;
            // guaranteed work waits as long as its objective and its guarantee allow.
            let preemption_ms = self.limits.stop_grace_ms + Self::RESERVATION_MS;
            let guarantee_limit_ms = (unit.due_ms + self.limits.reclaim_ms).saturating_sub(preemption_ms);
            let objective_limit_ms = unit
                .latest_start_ms
                .saturating_sub(self.limits.stop_grace_ms + Self::STOP_REPORT_MS);
            if !is_guaranteed || now_ms < guarantee_limit_ms.min(objective_limit_ms) {
                if let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) {
                    state.preemption_attempt_ms =
                        now_ms.saturating_sub(Self::PREEMPT_PAUSE_MS - Self::PREEMPT_RECHECK_MS);
                }
                return true;
            }
        }
        let is_stop_pending = |worker: &WorkerKey| {
            let mut runs = self.workers[*worker].runs.iter().map(|run| &self.runs[*run]);
            runs.any(|run| run.state == RunState::Stopping || self.may_end_for(run, unit, now_ms))
        };
        if preemption.victims.is_empty() && !preemption.workers.iter().any(is_stop_pending) {
            // There is room, so something else holds the unit back; a reservation would hold back others as well.
            return true;
        }
        self.reservations.retain(|reservation| reservation.unit != unit.key());
        self.reservations.push(PreemptionReservation {
            unit: unit.key(),
            workers: preemption.workers,
            until_ms: now_ms + Self::RESERVATION_MS,
        });
        if preemption.victims.is_empty() {
            return true;
        }
        self.log_lines.push(format!(
            "preempt job={} step={} victims={} cost_core_ms={} delay_core_ms={} is_owed={is_guaranteed}",
            spec.id,
            unit.step,
            preemption.victims.len(),
            preemption.unsaved_core_ms,
            preemption.cost - preemption.unsaved_core_ms
        ));
        for victim in preemption.victims {
            if let Some(task_run) = self.task_run_of(victim) {
                self.log_lines.push(format!(
                    "run_preempted task={} run={} for={}",
                    task_run.task, task_run.run, spec.id
                ));
            }
            self.stats.preempted += 1;
            self.abort_run(victim, now_ms);
        }
        true
    }

    /// Returns the cheapest victims on the given workers for `needed` tasks of a unit.
    fn cheapest_victims(
        &self,
        unit: &PlacementUnit,
        shape: &Step,
        needed: u64,
        candidates: &[&Candidate],
        now_ms: u64,
    ) -> Option<Preemption> {
        let (hosts, victims) = self.hosts_and_victims(candidates, unit, now_ms);
        if !shape.is_gang || !shape.is_same_rack {
            return choose_victims(shape, needed, &hosts, &victims, None);
        }
        let mut racks: Vec<_> = hosts.iter().map(|host| &host.rack).collect();
        racks.sort();
        racks.dedup();
        racks
            .into_iter()
            .filter_map(|rack| choose_victims(shape, needed, &hosts, &victims, Some(rack)))
            .min_by_key(|preemption| preemption.cost)
    }

    /// Returns the hosts and the runs that may be stopped there; the members of a gang form one victim.
    ///
    /// Work beyond the guarantee takes nothing from organisations with a smaller share.
    fn hosts_and_victims(
        &self,
        candidates: &[&Candidate],
        unit: &PlacementUnit,
        now_ms: u64,
    ) -> (Vec<Host>, Vec<Victim>) {
        let organisation = self.jobs[unit.job].spec.organisation.as_str();
        let beyond_guarantee = (!self.is_within_guarantee(organisation)).then_some(organisation);
        let mut times = VictimTimesCache::default();
        let mut hosts = Vec::with_capacity(candidates.len());
        let mut victims = Vec::new();
        let mut gangs: HashMap<PlacementUnitKey, usize> = HashMap::new();
        for candidate in candidates {
            let mut used = self.workers[candidate.worker].used;
            for key in &self.workers[candidate.worker].runs {
                let run = &self.runs[*key];
                if run.state == RunState::Stopping {
                    used = used.minus(&run.need);
                    continue;
                }
                if self.may_end_for(run, unit, now_ms) {
                    used = used.minus(&run.need);
                    continue;
                }
                let is_protected = beyond_guarantee.is_some_and(|taker| !self.may_take_from(taker, run));
                let Some(step) = run
                    .unit()
                    .filter(|_| !is_protected && self.is_victim(run, unit.priority))
                else {
                    continue;
                };
                let member = (hosts.len(), *key, run.need);
                let next_index = victims.len();
                let index = if self.is_gang_member(run) {
                    *gangs.entry(step).or_insert(next_index)
                } else {
                    next_index
                };
                if index == next_index {
                    let unsaved_core_ms = self.stop_cost(*key, now_ms);
                    victims.push(Victim {
                        unsaved_core_ms,
                        cost: self.victim_cost(*key, unsaved_core_ms, &mut times, now_ms),
                        members: Vec::new(),
                    });
                }
                victims[index].members.push(member);
            }
            hosts.push(Host {
                worker: candidate.worker,
                rack: candidate.rack.clone(),
                capacity: candidate.capacity,
                used,
            });
        }
        (hosts, victims)
    }

    /// Returns whether a run ends so soon that a unit of higher priority waits for it.
    fn may_end_for(&self, run: &super::Run, unit: &PlacementUnit, now_ms: u64) -> bool {
        self.is_victim(run, unit.priority) && self.is_about_to_end(run, unit, now_ms)
    }

    /// Returns whether a run may be stopped for work of a priority.
    pub(super) fn is_victim(&self, run: &super::Run, priority: u32) -> bool {
        let is_lower = self.job_of(run).is_some_and(|job| job.spec.priority > priority);
        is_lower && self.shape_of(run).is_some_and(|shape| !shape.is_non_preemptible())
    }

    /// Returns the work that stopping a run loses, with the other members of its gang, in core-milliseconds.
    pub(super) fn stop_cost(&self, key: RunKey, now_ms: u64) -> u64 {
        /// Time lost by a stop apart from unsaved work. A task that saves checkpoints saves one when it is stopped.
        const STOP_OVERHEAD_MS: u64 = 300;
        let Some(run) = self.runs.get(key) else { return 0 };
        let Some((state, shape)) = self.step_of(run).zip(self.shape_of(run)) else {
            return 0;
        };
        let elapsed_ms = if shape.saves_checkpoints {
            STOP_OVERHEAD_MS
        } else {
            now_ms.saturating_sub(run.start_sent_ms) + STOP_OVERHEAD_MS
        };
        let members = if shape.is_gang {
            u64::from(state.active_count.max(1))
        } else {
            1
        };
        members * run.need.weight_milli() * elapsed_ms / 1_000
    }
}
