use std::collections::BTreeMap;

use super::keys::{JobKey, RunKey};
use super::order::Unit;
use super::place::{Claim, Spot};
use super::victims::{Choice, Room, Victim, choose};
use super::{Engine, RunState};
use crate::Step;

/// Preemption for work of priority 0.
impl Engine {
    /// Shortest time between two preemptions for one step; stops need this long to show.
    const PREEMPT_PAUSE_MS: u64 = 400;

    /// Pause before room is looked for again without preemption.
    const PREEMPT_LOOK_MS: u64 = 100;

    /// Time until the end of a stopped run is listed and its room is given to the unit.
    const STOP_LISTING_MS: u64 = 100;

    /// Time for which workers are kept for a unit that others were stopped for.
    const CLAIM_MS: u64 = 1_000;

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

    /// Stops work of lower priority so that a unit fits; the unit starts when the stops are listed.
    /// Returns whether room was looked for.
    pub(super) fn preempt_for(&mut self, unit: &Unit, spots: &[Spot], now_ms: u64) -> bool {
        let spec = std::rc::Rc::clone(&self.jobs[unit.job].spec);
        let shape = &spec.steps[unit.step as usize];
        let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) else {
            return false;
        };
        let needed = u64::from(state.idle_count());
        if now_ms < state.preempted_ms + Self::PREEMPT_PAUSE_MS {
            return false;
        }
        state.preempted_ms = now_ms;
        let usable: Vec<_> = spots
            .iter()
            .filter(|spot| spot.is_open_to(unit) && self.takes(spot, &spec, shape))
            .collect();
        let doubtful = self.doubtful_workers(unit, shape, now_ms);
        let sound: Vec<_> = usable
            .iter()
            .copied()
            .filter(|spot| !doubtful.contains(&spot.worker))
            .collect();
        let choice = self
            .cheapest_victims(unit, shape, needed, &sound, now_ms)
            .or_else(|| self.cheapest_victims(unit, shape, needed, &usable, now_ms));
        let Some(choice) = choice else { return true };
        let is_owed = self.is_within_guarantee(&spec.organisation);
        if choice.cost > self.expected_work(&spec, unit.step) {
            // Stopping would lose more work than the unit needs. Unowed work waits for room; owed work waits as long as
            // its objective and its guarantee allow.
            let stops_ms = self.limits.stop_grace_ms + Self::CLAIM_MS;
            let owed_ms = (unit.due_ms + self.limits.reclaim_ms).saturating_sub(stops_ms);
            let useful_ms = unit
                .latest_start_ms
                .saturating_sub(self.limits.stop_grace_ms + Self::STOP_LISTING_MS);
            if !is_owed || now_ms < owed_ms.min(useful_ms) {
                if let Some(state) = self.step_mut(unit.job, unit.occurrence, unit.step) {
                    state.preempted_ms = now_ms.saturating_sub(Self::PREEMPT_PAUSE_MS - Self::PREEMPT_LOOK_MS);
                }
                return true;
            }
        }
        self.claims.retain(|claim| claim.unit != unit.key());
        self.claims.push(Claim {
            unit: unit.key(),
            workers: choice.workers,
            until_ms: now_ms + Self::CLAIM_MS,
        });
        if choice.victims.is_empty() {
            return true;
        }
        self.notes.push(format!(
            "preempt job={} step={} victims={} cost_core_ms={} is_owed={is_owed}",
            spec.id,
            unit.step,
            choice.victims.len(),
            choice.cost
        ));
        for victim in choice.victims {
            if let Some(what) = self.what_of(victim) {
                self.notes.push(format!(
                    "run_preempted task={} run={} for={}",
                    what.task, what.run, spec.id
                ));
            }
            self.stats.preempted += 1;
            self.give_up_run(victim, now_ms);
        }
        true
    }

    /// Returns the cheapest victims on the given workers for `needed` tasks of a unit.
    fn cheapest_victims(&self, unit: &Unit, shape: &Step, needed: u64, spots: &[&Spot], now_ms: u64) -> Option<Choice> {
        let (rooms, victims) = self.rooms_and_victims(spots, unit.priority, now_ms);
        if !shape.is_gang || !shape.is_same_rack {
            return choose(shape, needed, &rooms, &victims, None);
        }
        let mut racks: Vec<_> = rooms.iter().map(|room| &room.rack).collect();
        racks.sort();
        racks.dedup();
        racks
            .into_iter()
            .filter_map(|rack| choose(shape, needed, &rooms, &victims, Some(rack)))
            .min_by_key(|choice| choice.cost)
    }

    /// Returns the rooms on workers and the runs that may be stopped there; members of a gang end together.
    fn rooms_and_victims(&self, spots: &[&Spot], priority: u32, now_ms: u64) -> (Vec<Room>, Vec<Victim>) {
        let mut rooms = Vec::with_capacity(spots.len());
        let mut victims = Vec::new();
        let mut gangs: BTreeMap<(JobKey, u32, u32), usize> = BTreeMap::new();
        for spot in spots {
            let mut free = spot.free;
            for key in &self.workers[spot.worker].runs {
                let run = &self.runs[*key];
                if run.state == RunState::Stopping {
                    free = free.plus(&run.need);
                    continue;
                }
                if run.is_foreign || !self.is_victim(run, priority) {
                    continue;
                }
                let member = (rooms.len(), *key, run.need);
                let alone = victims.len();
                let index = if self.job_of(run).spec.steps[run.step as usize].is_gang {
                    *gangs.entry((run.job, run.occurrence, run.step)).or_insert(alone)
                } else {
                    alone
                };
                if index == alone {
                    victims.push(Victim {
                        cost: self.stop_cost(*key, now_ms),
                        members: Vec::new(),
                    });
                }
                victims[index].members.push(member);
            }
            rooms.push(Room {
                worker: spot.worker,
                rack: spot.rack.clone(),
                free,
            });
        }
        (rooms, victims)
    }

    fn is_victim(&self, run: &super::Run, priority: u32) -> bool {
        let spec = &self.job_of(run).spec;
        spec.priority > priority && !spec.steps[run.step as usize].is_non_preemptible()
    }

    /// Returns the work that stopping a run loses, with the other members of its gang, in core-milliseconds.
    pub(super) fn stop_cost(&self, key: RunKey, now_ms: u64) -> u64 {
        /// Lost work of a task that saves checkpoints: it saves once more when it is stopped.
        const SAVED_COST_MS: u64 = 300;
        let Some(run) = self.runs.get(key) else { return 0 };
        let Some(state) = self.step_of(run) else { return 0 };
        let shape = &self.job_of(run).spec.steps[run.step as usize];
        let elapsed_ms = if shape.saves_checkpoints {
            SAVED_COST_MS
        } else {
            now_ms.saturating_sub(run.ordered_ms) + SAVED_COST_MS
        };
        let members = if shape.is_gang {
            u64::from(state.active_count.max(1))
        } else {
            1
        };
        members * run.need.weight_milli() * elapsed_ms / 1_000
    }
}
