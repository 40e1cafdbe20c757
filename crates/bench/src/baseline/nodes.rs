use std::ops::Range;

use model::{Resources, Shape, Topology};
use smallvec::SmallVec;

use super::{Fit, health::Health, node::Node};
use crate::layout::Layout;

/// Need of a job for the search of a place.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Need<'a> {
    pub(crate) shape: Shape,
    pub(crate) part: Resources,
    pub(crate) idempotent: bool,
    pub(crate) excluded: &'a [usize],
}

/// Workers in order of data centre, rack and position.
#[derive(Debug, Clone, Default)]
pub(crate) struct Nodes {
    pub(crate) all: Vec<Node>,
    pub(crate) layout: Layout,
}

impl Nodes {
    pub(crate) fn new(topology: &Topology) -> Self {
        let node = |worker: &model::Worker| Node {
            id: worker.id.clone(),
            capacity: worker.capacity,
            free: worker.capacity,
            up: true,
            in_service: true,
            health: Health::default(),
            probing: false,
        };
        Self {
            all: topology.workers().map(node).collect(),
            layout: Layout::new(topology),
        }
    }

    /// Returns whether the shape fits into the topology when everything is empty.
    pub(crate) fn fits_empty(&self, shape: Shape, part: Resources) -> bool {
        (0..self.layout.domain_count(shape.adjacency)).any(|index| {
            let room: u32 = self.all[self.layout.domain(shape.adjacency, index)]
                .iter()
                .map(|node| u32::from(node.capacity.count_of(part)))
                .sum();
            room >= u32::from(shape.parts)
        })
    }

    fn room(&self, index: usize, need: Need<'_>) -> u32 {
        if need.excluded.contains(&index) {
            return 0;
        }
        self.all[index].room(need.part, need.idempotent)
    }

    /// Returns one worker for each part, or `None` if the shape does not fit now.
    pub(crate) fn place<F: Fit>(&self, need: Need<'_>) -> Option<SmallVec<[usize; 4]>> {
        let parts = u32::from(need.shape.parts);
        let mut best: Option<(u32, Range<usize>)> = None;
        for index in 0..self.layout.domain_count(need.shape.adjacency) {
            let range = self.layout.domain(need.shape.adjacency, index);
            let (mut room, mut spare) = (0, 0);
            for node in range.clone() {
                let here = self.room(node, need);
                room += here;
                if here > 0 {
                    spare += u32::from(self.all[node].free.accelerators);
                }
                if !F::TIGHTEST && room >= parts {
                    break;
                }
            }
            if room >= parts && best.as_ref().is_none_or(|(least, _)| spare < *least) {
                best = Some((spare, range));
                if !F::TIGHTEST {
                    break;
                }
            }
        }
        let mut order: SmallVec<[usize; 16]> = best?.1.collect();
        if F::TIGHTEST {
            order.sort_by_key(|node| self.all[*node].free.accelerators);
        }
        let mut workers = SmallVec::new();
        for node in order {
            let left = need.shape.parts as usize - workers.len();
            let here = (self.room(node, need) as usize).min(left);
            workers.extend(std::iter::repeat_n(node, here));
        }
        Some(workers)
    }

    /// Returns the free accelerators of workers that take work.
    pub(crate) fn free_accelerators(&self) -> u32 {
        self.all
            .iter()
            .filter(|node| node.is_usable())
            .map(|node| u32::from(node.free.accelerators))
            .sum()
    }
}
