use std::collections::BTreeMap;

use compact_str::CompactString;

use super::keys::{RunKey, WorkerKey};
use super::place::share_of;
use crate::{Resources, Step};

/// Worker whose running work may make room.
#[derive(Debug, Clone)]
pub(super) struct Room {
    pub worker: WorkerKey,
    pub rack: CompactString,
    /// Free now or as soon as stops under way are listed.
    pub free: Resources,
}

/// Runs that end together: one run, or all members of a gang.
#[derive(Debug, Clone)]
pub(super) struct Victim {
    /// Work that is lost if it is stopped, in core-milliseconds.
    pub cost: u64,
    /// Runs and what they take of which room.
    pub members: Vec<(usize, RunKey, Resources)>,
}

/// Victims for a unit, and the workers on which it then fits.
#[derive(Debug, Default)]
pub(super) struct Choice {
    pub cost: u64,
    pub victims: Vec<RunKey>,
    pub workers: Vec<WorkerKey>,
}

/// Victims that together make room for more tasks.
struct Bundle {
    victims: Vec<usize>,
    cost: u64,
    gain: u64,
}

/// Chooses cheap victims so that `needed` tasks of `shape` fit into rooms, of one rack if one is given.
///
/// Greedy by the cost of a task placed; victims that later ones make needless are taken out again.
pub(super) fn choose(
    shape: &Step,
    needed: u64,
    rooms: &[Room],
    victims: &[Victim],
    rack: Option<&CompactString>,
) -> Option<Choice> {
    let mut plan = Plan::new(shape, needed, rooms, victims, rack);
    while let Some(missing) = needed.checked_sub(plan.placed()).filter(|missing| *missing > 0) {
        let best = plan
            .usable
            .iter()
            .filter_map(|room| plan.bundle(*room, missing))
            // Compares cost / gain without fractions.
            .min_by(|a, b| {
                let (a_cost, b_cost) = (a.cost * b.gain, b.cost * a.gain);
                a_cost.cmp(&b_cost).then(a.victims.len().cmp(&b.victims.len()))
            })?;
        plan.take(&best.victims);
    }
    plan.drop_needless();
    Some(plan.finish())
}

struct Plan<'a> {
    shape: &'a Step,
    needed: u64,
    rooms: &'a [Room],
    victims: &'a [Victim],
    /// Rooms in which tasks may be placed.
    usable: Vec<usize>,
    is_usable: Vec<bool>,
    /// Victims by room, cheapest first.
    by_room: Vec<Vec<usize>>,
    free: Vec<Resources>,
    chosen: Vec<bool>,
}

impl<'a> Plan<'a> {
    fn new(
        shape: &'a Step,
        needed: u64,
        rooms: &'a [Room],
        victims: &'a [Victim],
        rack: Option<&CompactString>,
    ) -> Self {
        let mut by_room = vec![Vec::new(); rooms.len()];
        let mut order: Vec<usize> = (0..victims.len()).collect();
        order.sort_by_key(|victim| victims[*victim].cost);
        for victim in order {
            for (room, _, _) in &victims[victim].members {
                if by_room[*room].last() != Some(&victim) {
                    by_room[*room].push(victim);
                }
            }
        }
        let is_usable: Vec<bool> = rooms
            .iter()
            .map(|room| rack.is_none_or(|rack| room.rack == *rack))
            .collect();
        Self {
            shape,
            needed,
            rooms,
            victims,
            usable: (0..rooms.len()).filter(|room| is_usable[*room]).collect(),
            is_usable,
            by_room,
            free: rooms.iter().map(|room| room.free).collect(),
            chosen: vec![false; victims.len()],
        }
    }

    fn placed(&self) -> u64 {
        self.usable
            .iter()
            .map(|room| share_of(self.shape, &self.free[*room]))
            .sum()
    }

    /// Returns the cheapest further victims of a room with which it takes at least one more task; `missing` bounds the
    /// gain.
    fn bundle(&self, room: usize, missing: u64) -> Option<Bundle> {
        let before = share_of(self.shape, &self.free[room]);
        let mut free = self.free[room];
        let mut victims = Vec::new();
        let left = self.by_room[room].iter().filter(|victim| !self.chosen[**victim]);
        for victim in left {
            free = free.plus(&self.room_of(*victim, room));
            victims.push(*victim);
            if share_of(self.shape, &free) > before {
                break;
            }
        }
        let after = share_of(self.shape, &free);
        if after <= before {
            return None;
        }
        // The last one made the difference; earlier, cheaper ones may add nothing.
        for index in (0..victims.len().saturating_sub(1)).rev() {
            let without = free.minus(&self.room_of(victims[index], room));
            if share_of(self.shape, &without) >= after {
                free = without;
                victims.remove(index);
            }
        }
        Some(Bundle {
            cost: victims.iter().map(|victim| self.victims[*victim].cost).sum(),
            gain: self.gain(&victims).clamp(1, missing),
            victims,
        })
    }

    /// Returns how many more tasks fit in all rooms without these victims.
    fn gain(&self, victims: &[usize]) -> u64 {
        let mut free: BTreeMap<usize, Resources> = BTreeMap::new();
        for (room, _, need) in victims.iter().flat_map(|victim| &self.victims[*victim].members) {
            let entry = free.entry(*room).or_insert(self.free[*room]);
            *entry = entry.plus(need);
        }
        free.iter()
            .filter(|(room, _)| self.is_usable[**room])
            .map(|(room, free)| share_of(self.shape, free) - share_of(self.shape, &self.free[*room]))
            .sum()
    }

    fn room_of(&self, victim: usize, room: usize) -> Resources {
        let members = self.victims[victim].members.iter();
        members
            .filter(|(of, _, _)| *of == room)
            .fold(Resources::default(), |sum, (_, _, need)| sum.plus(need))
    }

    fn take(&mut self, victims: &[usize]) {
        for victim in victims {
            self.chosen[*victim] = true;
            for (room, _, need) in &self.victims[*victim].members {
                self.free[*room] = self.free[*room].plus(need);
            }
        }
    }

    /// Takes out victims without which everything still fits, the dearest first.
    fn drop_needless(&mut self) {
        let mut order: Vec<usize> = (0..self.victims.len()).filter(|victim| self.chosen[*victim]).collect();
        order.sort_by_key(|victim| std::cmp::Reverse(self.victims[*victim].cost));
        for victim in order {
            let before = self.free.clone();
            for (room, _, need) in &self.victims[victim].members {
                self.free[*room] = self.free[*room].minus(need);
            }
            if self.placed() >= self.needed {
                self.chosen[victim] = false;
            } else {
                self.free = before;
            }
        }
    }

    /// Names the victims, and workers for the unit: those with victims first, then the fullest.
    fn finish(&self) -> Choice {
        let chosen = || (0..self.victims.len()).filter(|victim| self.chosen[*victim]);
        let mut rooms: Vec<(bool, u64, usize, u64)> = self
            .usable
            .iter()
            .map(|room| {
                let has_victim = self.by_room[*room].iter().any(|victim| self.chosen[*victim]);
                let share = share_of(self.shape, &self.free[*room]);
                (!has_victim, self.free[*room].accelerators, *room, share)
            })
            .filter(|(_, _, _, share)| *share > 0)
            .collect();
        rooms.sort_unstable();
        let mut left = self.needed;
        let mut workers = Vec::new();
        for (_, _, room, share) in rooms {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(share);
            workers.push(self.rooms[room].worker);
        }
        Choice {
            cost: chosen().map(|victim| self.victims[victim].cost).sum(),
            victims: chosen()
                .flat_map(|victim| self.victims[victim].members.iter().map(|(_, run, _)| *run))
                .collect(),
            workers,
        }
    }
}
