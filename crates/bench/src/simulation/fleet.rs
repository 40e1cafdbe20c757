use model::{Resources, Topology};

use crate::layout::Layout;

/// Simulated workers with their actual state, independent of the state that the policy keeps.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) layout: Layout,
    pub(crate) data_centre_of: Vec<usize>,
    pub(crate) capacity: Vec<Resources>,
    pub(crate) free: Vec<Resources>,
    pub(crate) alive: Vec<bool>,
    /// Whether the policy was told that the worker is down.
    pub(crate) known_down: Vec<bool>,
    pub(crate) broken: Vec<bool>,
    /// By data centre.
    pub(crate) in_service: Vec<bool>,
    /// Accelerators running attempts that will not fail, by data centre; grants excluded.
    pub(crate) useful: Vec<u32>,
}

impl Fleet {
    pub(crate) fn new(topology: &Topology) -> Self {
        let layout = Layout::new(topology);
        let capacity: Vec<Resources> = topology.workers().map(|worker| worker.capacity).collect();
        let workers = capacity.len();
        Self {
            data_centre_of: (0..workers).map(|worker| layout.data_centre_of(worker)).collect(),
            in_service: vec![true; layout.data_centres.len()],
            useful: vec![0; layout.data_centres.len()],
            layout,
            free: capacity.clone(),
            capacity,
            alive: vec![true; workers],
            known_down: vec![false; workers],
            broken: vec![false; workers],
        }
    }

    /// Returns whether the worker is alive, in service and not broken.
    pub(crate) fn is_healthy(&self, worker: usize) -> bool {
        self.alive[worker] && !self.broken[worker] && self.in_service[self.data_centre_of[worker]]
    }

    /// Allocates `part` once for each entry of `workers`, or nothing; returns whether it was allocated.
    pub(crate) fn allocate(&mut self, workers: &[u32], part: Resources) -> bool {
        for (taken, worker) in workers.iter().enumerate() {
            let free = &mut self.free[*worker as usize];
            if !free.fits(part) {
                self.release(&workers[..taken], part);
                return false;
            }
            *free -= part;
        }
        true
    }

    pub(crate) fn release(&mut self, workers: &[u32], part: Resources) {
        for worker in workers {
            self.free[*worker as usize] += part;
        }
    }

    /// Returns the free resources of a worker; none if it is not healthy.
    pub(crate) fn usable(&self, worker: usize) -> Resources {
        if self.is_healthy(worker) {
            self.free[worker]
        } else {
            Resources::default()
        }
    }

    pub(crate) fn healthy_accelerators(&self, of: impl Fn(usize) -> Resources) -> u32 {
        (0..self.capacity.len())
            .filter(|worker| self.is_healthy(*worker))
            .map(|worker| u32::from(of(worker).accelerators))
            .sum()
    }
}
