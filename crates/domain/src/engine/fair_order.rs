use std::collections::{HashMap, VecDeque};

use compact_str::CompactString;
use shares::{Amounts, Filling};

use super::Engine;
use super::organisation_usage::Claim;
use super::queue::PlacementUnit;

/// Waiting unit with the number of its tasks that get capacity.
#[derive(Debug, Clone, Copy)]
struct Turn {
    unit: PlacementUnit,
    need: Amounts,
    waiting: u64,
    granted: u64,
    is_gang: bool,
}

impl Turn {
    /// Returns what has to start together.
    const fn whole(&self) -> Amounts {
        if self.is_gang {
            self.need.times(self.waiting)
        } else {
            self.need
        }
    }

    const fn rest(&self) -> Amounts {
        self.need.times(self.waiting - self.granted)
    }
}

/// Order between organisations while more work waits for a service than fits.
///
/// Weighted dominant resource fairness by progressive filling: the organisation with the lowest weighted dominant share
/// gets capacity next, task by task. Inside an organisation, the order stays.
impl Engine {
    /// Puts the units of services for which more work waits than fits into the order in which organisations get capacity.
    /// Without weights in the configuration, and while all waiting work fits, the order stays.
    pub(super) fn order_fairly(&self, units: &mut Vec<PlacementUnit>) {
        if !self.usages.has_weight() || units.is_empty() {
            return;
        }
        let mut turns: HashMap<CompactString, Vec<Turn>> = HashMap::new();
        for unit in units.iter().filter(|unit| !self.is_held_by_maximum(unit)) {
            let spec = &self.jobs[unit.job].spec;
            turns.entry(spec.service.clone()).or_default().push(self.turn_of(unit));
        }
        let mut ordered = Vec::new();
        for (service, mut waiting) in turns {
            let free = self.free_capacity(&service);
            let demand = waiting
                .iter()
                .fold(Amounts::default(), |sum, turn| sum.plus(&turn.rest()));
            if !demand.fits(&free) {
                let first = self.take_guaranteed(&mut waiting);
                ordered.push((service, first, self.fill(&waiting, free)));
            }
        }
        for (service, first, others) in ordered {
            let is_of_service = |unit: &mut PlacementUnit| self.jobs[unit.job].spec.service == service;
            let held: Vec<_> = units
                .extract_if(.., is_of_service)
                .filter(|unit| self.is_held_by_maximum(unit))
                .collect();
            units.extend(first.into_iter().map(|turn| turn.unit));
            units.extend(others);
            units.extend(held);
        }
    }

    fn turn_of(&self, unit: &PlacementUnit) -> Turn {
        let job = &self.jobs[unit.job];
        let shape = &job.spec.steps[unit.step as usize];
        let state = &job.occurrences[&unit.occurrence].steps[unit.step as usize];
        Turn {
            unit: *unit,
            need: shape.charged().into(),
            waiting: state.idle_count().into(),
            granted: 0,
            is_gang: shape.is_gang,
        }
    }

    fn free_capacity(&self, service: &CompactString) -> Amounts {
        self.workers
            .values()
            .filter(|worker| worker.is_listed && worker.entry.service == *service)
            .fold(Amounts::default(), |sum, worker| {
                sum.plus(&worker.entry.capacity.left_beside(&worker.used).into())
            })
    }

    /// Removes and returns the units that precede all shares: urgent ones within the guarantee of their organisation, in
    /// their order, and those that last and are overdue, as today.
    fn take_guaranteed(&self, turns: &mut Vec<Turn>) -> Vec<Turn> {
        let mut left: HashMap<usize, u64> = HashMap::new();
        if turns.iter().any(|turn| turn.unit.priority == 0) {
            let entries = self.usages.entries().enumerate();
            left.extend(entries.map(|(index, entry)| (index, entry.guaranteed_accelerators)));
            for run in self.runs.values() {
                if let Claim::Of(index, amounts) = run.claim
                    && self.job_of(run).is_some_and(|job| job.spec.priority == 0)
                    && let Some(left) = left.get_mut(&index)
                {
                    *left = left.saturating_sub(amounts.accelerators);
                }
            }
        }
        let is_first = |turn: &mut Turn| {
            if turn.unit.is_lasting && turn.unit.is_overdue {
                return true;
            }
            let organisation = &self.jobs[turn.unit.job].spec.organisation;
            let needed = turn.need.accelerators * turn.waiting;
            let left = self
                .usages
                .index_of(organisation)
                .and_then(|index| left.get_mut(&index));
            let Some(left) = left.filter(|left| turn.unit.priority == 0 && **left > 0 && needed <= **left) else {
                return false;
            };
            *left -= needed;
            true
        };
        turns.extract_if(.., is_first).collect()
    }

    /// Returns the units in the order in which their organisations get capacity: first with as many tasks as the free
    /// capacity holds by the shares, then with the rest, so that none stays idle.
    fn fill(&self, turns: &[Turn], mut free: Amounts) -> Vec<PlacementUnit> {
        let mut filling = Filling::new(self.total_capacity(), self.usages.entries().copied().collect());
        let mut queues: HashMap<usize, VecDeque<Turn>> = HashMap::new();
        let unknown = self.usages.entries().count();
        for turn in turns {
            let organisation = &self.jobs[turn.unit.job].spec.organisation;
            let index = self.usages.index_of(organisation).unwrap_or(unknown);
            queues.entry(index).or_default().push_back(*turn);
        }
        let mut first: Vec<Turn> = Vec::new();
        let mut rest: HashMap<usize, VecDeque<Turn>> = HashMap::new();
        while let Some(index) = filling.next(queues.keys().copied()) {
            let Some(queue) = queues.get_mut(&index) else { break };
            let Some(mut turn) = queue.pop_front() else {
                queues.remove(&index);
                continue;
            };
            let whole = turn.whole();
            if !whole.fits(&free) {
                // What was granted keeps its place; the rest follows once all shares are served.
                if turn.granted > 0 {
                    first.push(turn);
                }
                rest.entry(index).or_default().push_back(turn);
                continue;
            }
            free = free.minus(&whole);
            filling.add(index, &whole);
            turn.granted = if turn.is_gang { turn.waiting } else { turn.granted + 1 };
            if turn.granted < turn.waiting {
                queue.push_front(turn);
            } else {
                first.push(turn);
            }
        }
        let mut order: Vec<PlacementUnit> = first
            .into_iter()
            .map(|turn| PlacementUnit {
                most_tasks: if turn.granted < turn.waiting {
                    turn.granted as u32
                } else {
                    u32::MAX
                },
                ..turn.unit
            })
            .collect();
        while let Some(index) = filling.next(rest.keys().copied()) {
            match rest.get_mut(&index).and_then(VecDeque::pop_front) {
                Some(turn) => {
                    filling.add(index, &turn.rest());
                    order.push(turn.unit);
                }
                None => {
                    rest.remove(&index);
                }
            }
        }
        order
    }

    /// Returns whether work of an organisation may take the place of a run although it is beyond its guarantee: of its own
    /// organisation, or of one with a larger weighted share.
    pub(super) fn may_take_from(&self, organisation: &str, run: &super::Run) -> bool {
        let Claim::Of(other, _) = run.claim else { return true };
        let own = self.usages.index_of(organisation);
        if !self.usages.has_weight() || own == Some(other) {
            return true;
        }
        let capacity = self.total_capacity();
        let share = |index: usize| {
            let entry = self.usages.entries().nth(index);
            entry.map_or(0.0, |entry| entry.dominant_share(&capacity))
        };
        share(other) > own.map_or(0.0, share)
    }
}
