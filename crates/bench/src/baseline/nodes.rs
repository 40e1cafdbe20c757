use std::ops::Range;

use model::{Resources, Shape, Topology};
use smallvec::SmallVec;

use super::{Fit, health::Health, node::Node};
use crate::layout::Layout;

/// Placement requirements of a job.
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

    /// Returns whether the shape fits into the empty topology.
    pub(crate) fn fits_empty(&self, shape: Shape, part: Resources) -> bool {
        (0..self.layout.domain_count(shape.adjacency)).any(|index| {
            let fitting_parts: u32 = self.all[self.layout.domain(shape.adjacency, index)]
                .iter()
                .map(|node| u32::from(node.capacity.count_of(part)))
                .sum();
            fitting_parts >= u32::from(shape.parts)
        })
    }

    fn fitting_parts(&self, index: usize, need: Need<'_>) -> u32 {
        if need.excluded.contains(&index) {
            return 0;
        }
        self.all[index].fitting_parts(need.part, need.idempotent)
    }

    /// Returns one worker for each part, or `None` if the shape does not fit now.
    pub(crate) fn place<F: Fit>(&self, need: Need<'_>) -> Option<SmallVec<[usize; 4]>> {
        let parts = u32::from(need.shape.parts);
        let mut best: Option<(u32, Range<usize>)> = None;
        for index in 0..self.layout.domain_count(need.shape.adjacency) {
            let range = self.layout.domain(need.shape.adjacency, index);
            let (mut fitting_parts, mut free) = (0, 0);
            for node in range.clone() {
                let fitting = self.fitting_parts(node, need);
                fitting_parts += fitting;
                if fitting > 0 {
                    free += u32::from(self.all[node].free.accelerators);
                }
                if !F::TIGHTEST && fitting_parts >= parts {
                    break;
                }
            }
            if fitting_parts >= parts && best.as_ref().is_none_or(|(least, _)| free < *least) {
                best = Some((free, range));
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
            let fitting = (self.fitting_parts(node, need) as usize).min(left);
            workers.extend(std::iter::repeat_n(node, fitting));
        }
        Some(workers)
    }

    /// Returns the free accelerators of all usable workers.
    pub(crate) fn free_accelerators(&self) -> u32 {
        self.all
            .iter()
            .filter(|node| node.is_usable())
            .map(|node| u32::from(node.free.accelerators))
            .sum()
    }
}
