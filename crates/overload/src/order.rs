use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::{Capacity, Standing, WaitingWork};

/// Returns the indices of the work of one priority in the order in which it should get capacity, with its standing.
///
/// Aged work comes first, by its latest start, as far as its share of the capacity goes. Of the other work that can be in
/// time, the set with the most jobs that can be in time together follows by deadline (Moore-Hodgson: the largest is
/// postponed until the rest fits), then the postponed work and the late work, least work first, and last the work beyond
/// its late limit, oldest deadline first.
pub fn order(work: &[WaitingWork], capacity: &Capacity) -> Vec<(usize, Standing)> {
    let mut standings: Vec<Standing> = work.iter().map(standing_alone).collect();
    let mut ahead_core_ms = capacity.ahead_core_ms;
    take_aged(work, capacity, &mut standings, &mut ahead_core_ms);
    postpone_largest(work, capacity.cores, ahead_core_ms, &mut standings);
    let mut order: Vec<(usize, Standing)> = standings.into_iter().enumerate().collect();
    order.sort_by(|(a, standing), (b, other)| {
        let order = standing.cmp(other);
        order.then_with(|| compare(&work[*a], &work[*b], *standing, capacity.cores))
    });
    order
}

/// Returns the standing of work regardless of other work.
const fn standing_alone(work: &WaitingWork) -> Standing {
    if work.can_be_in_time() {
        Standing::InTime
    } else if work.can_be_late() {
        Standing::Late
    } else {
        Standing::BeyondLimit
    }
}

/// Marks aged work, that with the earliest latest start first, while there is capacity left for such work.
fn take_aged(work: &[WaitingWork], capacity: &Capacity, standings: &mut [Standing], ahead_core_ms: &mut f64) {
    let mut aged: Vec<usize> = (0..work.len())
        .filter(|index| standings[*index] == Standing::InTime && work[*index].is_aged())
        .collect();
    aged.sort_by_key(|index| work[*index].slack_ms());
    let mut left_cores = capacity.left_for_aged();
    for index in aged {
        if left_cores <= 0.0 {
            break;
        }
        left_cores -= work[index].cores;
        *ahead_core_ms += work[index].work_core_ms;
        standings[index] = Standing::Aged;
    }
}

/// Marks the largest work as postponed until the rest can be in time together.
fn postpone_largest(work: &[WaitingWork], cores: f64, ahead_core_ms: f64, standings: &mut [Standing]) {
    let mut by_deadline: Vec<usize> = (0..work.len())
        .filter(|index| standings[*index] == Standing::InTime)
        .collect();
    by_deadline.sort_by(|a, b| deadline_ms(&work[*a], cores).total_cmp(&deadline_ms(&work[*b], cores)));
    let mut kept = BinaryHeap::with_capacity(by_deadline.len());
    let mut sum_core_ms = ahead_core_ms;
    for index in by_deadline {
        sum_core_ms += work[index].work_core_ms;
        kept.push(Kept {
            work_core_ms: work[index].work_core_ms,
            slack_ms: work[index].slack_ms(),
            index,
        });
        if sum_core_ms > deadline_ms(&work[index], cores) * cores
            && let Some(largest) = kept.pop()
        {
            sum_core_ms -= largest.work_core_ms;
            standings[largest.index] = Standing::Postponed;
        }
    }
}

/// Returns the time from now by which all work up to this one has to have passed through the service, so that it starts
/// early enough to be in time.
fn deadline_ms(work: &WaitingWork, cores: f64) -> f64 {
    work.slack_ms() as f64 + work.work_core_ms / cores.max(f64::MIN_POSITIVE)
}

fn compare(a: &WaitingWork, b: &WaitingWork, standing: Standing, cores: f64) -> Ordering {
    let by_objective = a.objective_end_ms.cmp(&b.objective_end_ms);
    match standing {
        Standing::Aged => a.slack_ms().cmp(&b.slack_ms()),
        Standing::InTime => deadline_ms(a, cores).total_cmp(&deadline_ms(b, cores)),
        Standing::Postponed | Standing::Late => a.work_core_ms.total_cmp(&b.work_core_ms),
        Standing::BeyondLimit => a.late_end_ms.cmp(&b.late_end_ms),
    }
    .then(by_objective)
}

/// Work that is kept in time so far; the largest is the greatest, of equal ones that with the most slack.
#[derive(Debug, Clone, Copy)]
struct Kept {
    work_core_ms: f64,
    slack_ms: u64,
    index: usize,
}

impl Ord for Kept {
    fn cmp(&self, other: &Self) -> Ordering {
        self.work_core_ms
            .total_cmp(&other.work_core_ms)
            .then(self.slack_ms.cmp(&other.slack_ms))
            .then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for Kept {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Kept {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Kept {}
