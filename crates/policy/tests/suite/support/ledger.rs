//! Independent record of running jobs and grants that checks each decision without the policy's own accounting.

use std::collections::BTreeMap;

use model::{Adjacency, JobSpec, OrganisationId, Resources, Topology};
use policy::{JobKey, Plan};

/// Violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Jobs and grants on a worker exceed its capacity.
    Overcommitted { worker: usize },
    /// The number of workers differs from the number of parts.
    PartialGang,
    /// The parts are further apart than the job allows.
    NotAdjacent,
    /// Work that cannot be preempted occupies capacity that is guaranteed to another organisation.
    NotReclaimable { worker: usize },
    /// A job starts on a worker that accepts no work.
    Unavailable { worker: usize },
    /// A guaranteed shape is planned on an unavailable worker or exceeds its capacity.
    PlanInfeasible { worker: usize },
}

#[derive(Debug)]
pub struct Ledger {
    pub capacity: Vec<Resources>,
    pub racks: Vec<(usize, usize)>,
    pub accepts_work: Vec<bool>,
    pub held: BTreeMap<JobKey, (JobSpec, Vec<usize>)>,
    /// Grants by worker.
    pub granted: Vec<Resources>,
    /// Guaranteed accelerators by worker that non-preemptible work holds after a change of plan; may only shrink.
    accepted_overlap: Vec<i64>,
}

impl Ledger {
    pub fn new(topology: &Topology) -> Self {
        let racks = topology.data_centres.iter().enumerate().flat_map(|(dc, data_centre)| {
            let racks = data_centre.racks.iter().enumerate();
            racks.flat_map(move |(rack, members)| members.workers.iter().map(move |_| (dc, rack)))
        });
        let capacity: Vec<_> = topology.workers().map(|worker| worker.capacity).collect();
        Self {
            racks: racks.collect(),
            accepts_work: vec![false; capacity.len()],
            granted: vec![Resources::default(); capacity.len()],
            accepted_overlap: vec![0; capacity.len()],
            held: BTreeMap::new(),
            capacity,
        }
    }

    pub fn start(&mut self, key: JobKey, spec: &JobSpec, workers: Vec<usize>) -> Result<(), Violation> {
        if workers.len() != usize::from(spec.shape.parts) {
            return Err(Violation::PartialGang);
        }
        if let Some(&worker) = workers.iter().find(|&&worker| !self.accepts_work[worker]) {
            return Err(Violation::Unavailable { worker });
        }
        let first = workers[0];
        let is_adjacent = |&other: &usize| match spec.shape.adjacency {
            Adjacency::Worker => other == first,
            Adjacency::Rack => self.racks[other] == self.racks[first],
            Adjacency::DataCentre => self.racks[other].0 == self.racks[first].0,
        };
        if !workers.iter().all(is_adjacent) {
            return Err(Violation::NotAdjacent);
        }
        self.held.insert(key, (spec.clone(), workers));
        self.check_capacity()
    }

    pub fn release(&mut self, key: JobKey) {
        self.held.remove(&key);
    }

    pub fn check_capacity(&self) -> Result<(), Violation> {
        let mut used: Vec<[u64; 4]> = self.granted.iter().map(|&granted| components(granted)).collect();
        for (spec, workers) in self.held.values() {
            for &worker in workers {
                for (sum, need) in used[worker].iter_mut().zip(components(spec.need_per_part())) {
                    *sum += need;
                }
            }
        }
        let is_overcommitted = |worker: &usize| {
            let capacity = components(self.capacity[*worker]);
            used[*worker]
                .iter()
                .zip(capacity)
                .any(|(used, capacity)| *used > capacity)
        };
        match (0..used.len()).find(is_overcommitted) {
            Some(worker) => Err(Violation::Overcommitted { worker }),
            None => Ok(()),
        }
    }

    /// Returns the accelerators by which guarantees and work that cannot be preempted exceed each worker.
    fn overlap(&self, plan: &Plan) -> Vec<i64> {
        let mut demand: Vec<BTreeMap<Option<OrganisationId>, (i64, i64)>> = vec![BTreeMap::new(); self.capacity.len()];
        for slice in &plan.slices {
            for &(worker, parts) in &slice.workers {
                let entry = demand[worker as usize]
                    .entry(Some(slice.organisation.clone()))
                    .or_default();
                entry.0 += i64::from(parts) * i64::from(slice.shape.accelerators_per_part);
            }
        }
        for (spec, workers) in self.held.values().filter(|(spec, _)| !spec.is_preemptible()) {
            for &worker in workers {
                let entry = demand[worker].entry(Some(spec.organisation.clone())).or_default();
                entry.1 += i64::from(spec.shape.accelerators_per_part);
            }
        }
        for (worker, granted) in self.granted.iter().enumerate() {
            demand[worker].entry(None).or_default().1 += i64::from(granted.accelerators);
        }
        let overlap = demand.iter().zip(&self.capacity).map(|(demand, capacity)| {
            let wanted: i64 = demand.values().map(|&(guaranteed, held)| guaranteed.max(held)).sum();
            (wanted - i64::from(capacity.accelerators)).max(0)
        });
        overlap.collect()
    }

    /// Checks that preempting borrowers would free every guaranteed shape.
    pub fn check_reclaim(&mut self, plan: &Plan) -> Result<(), Violation> {
        let overlap = self.overlap(plan);
        if let Some(worker) = (0..overlap.len()).find(|&worker| overlap[worker] > self.accepted_overlap[worker]) {
            return Err(Violation::NotReclaimable { worker });
        }
        self.accepted_overlap = overlap;
        Ok(())
    }

    /// Accepts the overlap that a new plan causes with work that already runs.
    pub fn accept_overlap(&mut self, plan: &Plan) {
        self.accepted_overlap = self.overlap(plan);
    }

    /// Returns the accelerators of guarantees that cannot be reclaimed yet because of a change of plan.
    pub fn accepted_overlap(&self) -> i64 {
        self.accepted_overlap.iter().sum()
    }

    /// Checks that the plan uses only workers that may take work and fits their capacity.
    pub fn check_plan(&self, plan: &Plan, usable: &[bool]) -> Result<(), Violation> {
        let mut planned = vec![[0; 4]; self.capacity.len()];
        for slice in &plan.slices {
            for &(worker, parts) in &slice.workers {
                let worker = worker as usize;
                let need = Plan::need_on(slice.shape, self.capacity[worker]);
                for (sum, need) in planned[worker].iter_mut().zip(components(need)) {
                    *sum += need * u64::from(parts);
                }
                let capacity = components(self.capacity[worker]);
                if !usable[worker]
                    || planned[worker]
                        .iter()
                        .zip(capacity)
                        .any(|(sum, capacity)| *sum > capacity)
                {
                    return Err(Violation::PlanInfeasible { worker });
                }
            }
        }
        Ok(())
    }
}

fn components(resources: Resources) -> [u64; 4] {
    [
        resources.slots.into(),
        resources.accelerators.into(),
        resources.cpu_milli.into(),
        resources.memory_mib.into(),
    ]
}
