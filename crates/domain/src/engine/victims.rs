use std::collections::BTreeMap;

use compact_str::CompactString;

use super::keys::{RunKey, WorkerKey};
use super::place::tasks_that_fit;
use crate::{Resources, Step};

/// Worker on which runs may be preempted.
#[derive(Debug, Clone)]
pub(super) struct Host {
    pub worker: WorkerKey,
    pub rack: CompactString,
    pub capacity: Resources,
    /// Capacity in use, without runs that are being stopped.
    pub used: Resources,
}

/// Runs that are stopped together: one run, or all members of a gang.
#[derive(Debug, Clone)]
pub(super) struct Victim {
    /// Work that is lost if it is stopped, in core-milliseconds.
    pub unsaved_core_ms: u64,
    /// That work and the cost of the delay, which decide between victims.
    pub cost: u64,
    /// Host index, run and resources of each member.
    pub members: Vec<(usize, RunKey, Resources)>,
}

/// Victims to stop for a unit, and the workers on which it then fits.
#[derive(Debug, Default)]
pub(super) struct Preemption {
    /// Work that is lost, in core-milliseconds.
    pub unsaved_core_ms: u64,
    /// That work and the cost of the delays.
    pub cost: u64,
    pub victims: Vec<RunKey>,
    pub workers: Vec<WorkerKey>,
}

/// Victims that together free capacity for more tasks.
struct VictimSet {
    victims: Vec<usize>,
    cost: u64,
    gain: u64,
}

/// Chooses cheap victims so that `needed` tasks of `shape` fit on the hosts, only on those of `rack` if it is given.
///
/// Greedy by the cost for each task that fits; victims that later ones make redundant are dropped again.
pub(super) fn choose_victims(
    shape: &Step,
    needed: u64,
    hosts: &[Host],
    victims: &[Victim],
    rack: Option<&CompactString>,
) -> Option<Preemption> {
    let mut search = VictimSearch::new(shape, needed, hosts, victims, rack);
    while let Some(missing) = needed
        .checked_sub(search.fitting_tasks())
        .filter(|missing| *missing > 0)
    {
        let best = search
            .usable
            .iter()
            .filter_map(|host| search.cheapest_set(*host, missing))
            // Compares cost / gain without fractions.
            .min_by(|a, b| {
                let (a_cost, b_cost) = (a.cost * b.gain, b.cost * a.gain);
                a_cost.cmp(&b_cost).then(a.victims.len().cmp(&b.victims.len()))
            })?;
        search.select(&best.victims);
    }
    search.drop_redundant();
    Some(search.finish())
}

struct VictimSearch<'a> {
    shape: &'a Step,
    needed: u64,
    hosts: &'a [Host],
    victims: &'a [Victim],
    /// Hosts on which tasks may be placed.
    usable: Vec<usize>,
    is_usable: Vec<bool>,
    /// Victims by host, cheapest first.
    by_host: Vec<Vec<usize>>,
    /// Capacity in use on each host once the selected victims are stopped.
    used: Vec<Resources>,
    selected: Vec<bool>,
}

impl<'a> VictimSearch<'a> {
    fn new(
        shape: &'a Step,
        needed: u64,
        hosts: &'a [Host],
        victims: &'a [Victim],
        rack: Option<&CompactString>,
    ) -> Self {
        let mut by_host = vec![Vec::new(); hosts.len()];
        let mut order: Vec<usize> = (0..victims.len()).collect();
        order.sort_by_key(|victim| victims[*victim].cost);
        for victim in order {
            for (host, _, _) in &victims[victim].members {
                if by_host[*host].last() != Some(&victim) {
                    by_host[*host].push(victim);
                }
            }
        }
        let is_usable: Vec<bool> = hosts
            .iter()
            .map(|host| rack.is_none_or(|rack| host.rack == *rack))
            .collect();
        Self {
            shape,
            needed,
            hosts,
            victims,
            usable: (0..hosts.len()).filter(|host| is_usable[*host]).collect(),
            is_usable,
            by_host,
            used: hosts.iter().map(|host| host.used).collect(),
            selected: vec![false; victims.len()],
        }
    }

    /// Returns the capacity that is free on a host of which `used` is in use.
    fn free(&self, host: usize, used: &Resources) -> Resources {
        self.hosts[host].capacity.left_beside(used)
    }

    /// Returns the number of tasks that fit on a host of which `used` is in use.
    fn fitting_on(&self, host: usize, used: &Resources) -> u64 {
        tasks_that_fit(self.shape, &self.free(host, used))
    }

    fn fitting_tasks(&self) -> u64 {
        self.usable
            .iter()
            .map(|host| self.fitting_on(*host, &self.used[*host]))
            .sum()
    }

    /// Returns the cheapest unselected victims of a host without which at least one more task fits there; `missing`
    /// bounds the gain.
    fn cheapest_set(&self, host: usize, missing: u64) -> Option<VictimSet> {
        let before = self.fitting_on(host, &self.used[host]);
        let mut used = self.used[host];
        let mut victims = Vec::new();
        let left = self.by_host[host].iter().filter(|victim| !self.selected[**victim]);
        for victim in left {
            used = used.minus(&self.freed_on(*victim, host));
            victims.push(*victim);
            if self.fitting_on(host, &used) > before {
                break;
            }
        }
        let after = self.fitting_on(host, &used);
        if after <= before {
            return None;
        }
        // The last victim made the task fit; earlier, cheaper ones may be redundant.
        for index in (0..victims.len().saturating_sub(1)).rev() {
            let without = used.plus(&self.freed_on(victims[index], host));
            if self.fitting_on(host, &without) >= after {
                used = without;
                victims.remove(index);
            }
        }
        Some(VictimSet {
            cost: victims.iter().map(|victim| self.victims[*victim].cost).sum(),
            gain: self.gain(&victims).clamp(1, missing),
            victims,
        })
    }

    /// Returns how many more tasks fit on all hosts once these victims are stopped.
    fn gain(&self, victims: &[usize]) -> u64 {
        let mut used: BTreeMap<usize, Resources> = BTreeMap::new();
        for (host, _, need) in victims.iter().flat_map(|victim| &self.victims[*victim].members) {
            let entry = used.entry(*host).or_insert(self.used[*host]);
            *entry = entry.minus(need);
        }
        used.iter()
            .filter(|(host, _)| self.is_usable[**host])
            .map(|(host, used)| self.fitting_on(*host, used) - self.fitting_on(*host, &self.used[*host]))
            .sum()
    }

    fn freed_on(&self, victim: usize, host: usize) -> Resources {
        let members = self.victims[victim].members.iter();
        members
            .filter(|(of, _, _)| *of == host)
            .fold(Resources::default(), |sum, (_, _, need)| sum.plus(need))
    }

    fn select(&mut self, victims: &[usize]) {
        for victim in victims {
            self.selected[*victim] = true;
            for (host, _, need) in &self.victims[*victim].members {
                self.used[*host] = self.used[*host].minus(need);
            }
        }
    }

    /// Deselects victims without which everything still fits, the costliest first.
    fn drop_redundant(&mut self) {
        let mut order: Vec<usize> = (0..self.victims.len())
            .filter(|victim| self.selected[*victim])
            .collect();
        order.sort_by_key(|victim| std::cmp::Reverse(self.victims[*victim].cost));
        for victim in order {
            let before = self.used.clone();
            for (host, _, need) in &self.victims[victim].members {
                self.used[*host] = self.used[*host].plus(need);
            }
            if self.fitting_tasks() >= self.needed {
                self.selected[victim] = false;
            } else {
                self.used = before;
            }
        }
    }

    /// Returns the selected victims, and workers for the unit: those with victims first, then the fullest.
    fn finish(&self) -> Preemption {
        let selected = || (0..self.victims.len()).filter(|victim| self.selected[*victim]);
        let mut hosts: Vec<(bool, u64, usize, u64)> = self
            .usable
            .iter()
            .map(|host| {
                let has_victim = self.by_host[*host].iter().any(|victim| self.selected[*victim]);
                let free = self.free(*host, &self.used[*host]);
                let tasks = tasks_that_fit(self.shape, &free);
                (!has_victim, free.accelerators, *host, tasks)
            })
            .filter(|(_, _, _, tasks)| *tasks > 0)
            .collect();
        hosts.sort_unstable();
        let mut left = self.needed;
        let mut workers = Vec::new();
        for (_, _, host, tasks) in hosts {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(tasks);
            workers.push(self.hosts[host].worker);
        }
        Preemption {
            unsaved_core_ms: selected().map(|victim| self.victims[victim].unsaved_core_ms).sum(),
            cost: selected().map(|victim| self.victims[victim].cost).sum(),
            victims: selected()
                .flat_map(|victim| self.victims[victim].members.iter().map(|(_, run, _)| *run))
                .collect(),
            workers,
        }
    }
}
