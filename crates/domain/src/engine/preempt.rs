use std::collections::HashMap;

use compact_str::CompactString;

use super::keys::{RunKey, WorkerKey};
use super::order::Unit;
use super::place::{Claim, Spot};
use super::{Engine, RunState};
use crate::{Resources, Step};

/// Run that may be stopped for work of higher priority.
#[derive(Debug, Clone, Copy)]
struct Victim {
    run: RunKey,
    need: Resources,
    /// Work that is lost if it is stopped, in core-milliseconds.
    cost: u64,
}

/// Room on a worker once victims are stopped.
#[derive(Debug, Clone)]
struct Room {
    worker: WorkerKey,
    rack: CompactString,
    /// Free now or as soon as stops under way are listed.
    free: Resources,
    /// Cheapest first.
    victims: Vec<Victim>,
    chosen: usize,
    tasks: u64,
}

impl Room {
    /// Returns the cost of one more task and the number of victims for it.
    fn next_cost(&self, shape: &Step) -> Option<(u64, usize)> {
        if shape.max_per_worker > 0 && self.tasks >= u64::from(shape.max_per_worker) {
            return None;
        }
        let mut free = self.free;
        let mut cost = 0;
        for count in self.chosen..=self.victims.len() {
            if shape.charged().fits(&free) {
                return Some((cost, count));
            }
            let victim = self.victims.get(count)?;
            free = free.plus(&victim.need);
            cost += victim.cost;
        }
        None
    }

    fn take(&mut self, shape: &Step, count: usize) {
        for victim in &self.victims[self.chosen..count] {
            self.free = self.free.plus(&victim.need);
        }
        self.chosen = count;
        self.free = self.free.minus(&shape.charged());
        self.tasks += 1;
    }
}

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
        let rooms: HashMap<WorkerKey, Room> = spots
            .iter()
            .filter(|spot| spot.is_open_to(unit) && self.takes(spot, &spec, shape))
            .map(|spot| (spot.worker, self.room(spot, unit.priority, now_ms)))
            .collect();
        let victims = if shape.is_gang && shape.is_same_rack {
            let mut racks: Vec<_> = rooms.values().map(|room| room.rack.clone()).collect();
            racks.sort();
            racks.dedup();
            racks
                .iter()
                .filter_map(|rack| choose(shape, needed, rooms.values().filter(|room| room.rack == *rack)))
                .min_by_key(|choice| choice.cost)
        } else {
            choose(shape, needed, rooms.values())
        };
        let Some(choice) = victims else { return true };
        let is_owed = self.is_within_guarantee(&spec.organisation);
        if choice.cost > shape.work() {
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

    fn room(&self, spot: &Spot, priority: u32, now_ms: u64) -> Room {
        let worker = &self.workers[spot.worker];
        let mut free = spot.free;
        let mut victims = Vec::new();
        for key in &worker.runs {
            let run = &self.runs[*key];
            if run.state == RunState::Stopping {
                free = free.plus(&run.need);
            } else if !run.is_foreign && self.is_victim(run, priority) {
                victims.push(Victim {
                    run: *key,
                    need: run.need,
                    cost: self.stop_cost(*key, now_ms),
                });
            }
        }
        victims.sort_by_key(|victim| victim.cost);
        Room {
            worker: spot.worker,
            rack: spot.rack.clone(),
            free,
            victims,
            chosen: 0,
            tasks: 0,
        }
    }

    fn is_victim(&self, run: &super::Run, priority: u32) -> bool {
        let spec = &self.job_of(run).spec;
        spec.priority > priority && !spec.steps[run.step as usize].is_bound_to_stay()
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

/// Victims for a unit, and the workers on which it then fits.
#[derive(Debug)]
struct Choice {
    cost: u64,
    victims: Vec<RunKey>,
    workers: Vec<WorkerKey>,
}

/// Chooses the cheapest victims so that `needed` tasks fit into the given rooms.
fn choose<'a>(shape: &Step, needed: u64, rooms: impl Iterator<Item = &'a Room>) -> Option<Choice> {
    let mut rooms: Vec<Room> = rooms.cloned().collect();
    let mut total = 0;
    for _ in 0..needed {
        let best = rooms
            .iter()
            .enumerate()
            .filter_map(|(index, room)| {
                let (cost, count) = room.next_cost(shape)?;
                Some((cost, room.free.accelerators, index, count))
            })
            .min()?;
        let (cost, _, index, count) = best;
        rooms[index].take(shape, count);
        total += cost;
    }
    let used = rooms.iter().filter(|room| room.tasks > 0);
    Some(Choice {
        cost: total,
        victims: used
            .clone()
            .flat_map(|room| room.victims[..room.chosen].iter().map(|victim| victim.run))
            .collect(),
        workers: used.map(|room| room.worker).collect(),
    })
}
