//! Independent record of what runs where. It knows nothing of the policy's accounts and checks each decision.

use std::collections::BTreeMap;

use model::{Adjacency, JobSpec, OrganisationId, Resources, Topology};
use policy::{JobKey, Plan};

/// Fault that the ledger found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// More is held on a worker than it has.
    Overcommitted { worker: usize },
    /// The number of workers differs from the number of parts.
    PartialGang,
    /// The parts are further apart than the job allows.
    NotAdjacent,
    /// Work that cannot be preempted stands in capacity that is guaranteed to another organisation.
    NotReclaimable { worker: usize },
    /// A start on a worker that takes no work.
    Unavailable { worker: usize },
    /// A guaranteed shape lies on a worker that is away, or exceeds its capacity.
    PlanInfeasible { worker: usize },
}

#[derive(Debug)]
pub struct Ledger {
    pub capacity: Vec<Resources>,
    pub racks: Vec<(usize, usize)>,
    pub open: Vec<bool>,
    pub held: BTreeMap<JobKey, (JobSpec, Vec<usize>)>,
    /// Grants by worker.
    pub granted: Vec<Resources>,
    /// Overlap of guarantees and such work that a change of plan caused, in accelerators; may shrink, never grow.
    tolerated: Vec<i64>,
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
            open: vec![false; capacity.len()],
            granted: vec![Resources::default(); capacity.len()],
            tolerated: vec![0; capacity.len()],
            held: BTreeMap::new(),
            capacity,
        }
    }

    pub fn start(&mut self, key: JobKey, spec: &JobSpec, workers: Vec<usize>) -> Result<(), Fault> {
        if workers.len() != usize::from(spec.shape.parts) {
            return Err(Fault::PartialGang);
        }
        if let Some(&worker) = workers.iter().find(|&&worker| !self.open[worker]) {
            return Err(Fault::Unavailable { worker });
        }
        let first = workers[0];
        let near = |&other: &usize| match spec.shape.adjacency {
            Adjacency::Worker => other == first,
            Adjacency::Rack => self.racks[other] == self.racks[first],
            Adjacency::DataCentre => self.racks[other].0 == self.racks[first].0,
        };
        if !workers.iter().all(near) {
            return Err(Fault::NotAdjacent);
        }
        self.held.insert(key, (spec.clone(), workers));
        self.check_capacity()
    }

    pub fn end(&mut self, key: JobKey) {
        self.held.remove(&key);
    }

    pub fn check_capacity(&self) -> Result<(), Fault> {
        let mut used: Vec<[u64; 4]> = self.granted.iter().map(|&granted| parts_of(granted)).collect();
        for (spec, workers) in self.held.values() {
            for &worker in workers {
                for (sum, need) in used[worker].iter_mut().zip(parts_of(spec.need_per_part())) {
                    *sum += need;
                }
            }
        }
        let over = |worker: &usize| {
            let capacity = parts_of(self.capacity[*worker]);
            used[*worker]
                .iter()
                .zip(capacity)
                .any(|(used, capacity)| *used > capacity)
        };
        match (0..used.len()).find(over) {
            Some(worker) => Err(Fault::Overcommitted { worker }),
            None => Ok(()),
        }
    }

    /// Accelerators by which guarantees and work that cannot be preempted exceed each worker.
    fn overlap(&self, plan: &Plan) -> Vec<i64> {
        let mut claims: Vec<BTreeMap<Option<OrganisationId>, (i64, i64)>> = vec![BTreeMap::new(); self.capacity.len()];
        for slice in &plan.slices {
            for &(worker, parts) in &slice.workers {
                let entry = claims[worker as usize]
                    .entry(Some(slice.organisation.clone()))
                    .or_default();
                entry.0 += i64::from(parts) * i64::from(slice.shape.accelerators_per_part);
            }
        }
        for (spec, workers) in self.held.values().filter(|(spec, _)| !spec.is_preemptible()) {
            for &worker in workers {
                let entry = claims[worker].entry(Some(spec.organisation.clone())).or_default();
                entry.1 += i64::from(spec.shape.accelerators_per_part);
            }
        }
        for (worker, granted) in self.granted.iter().enumerate() {
            claims[worker].entry(None).or_default().1 += i64::from(granted.accelerators);
        }
        let overlap = claims.iter().zip(&self.capacity).map(|(claims, capacity)| {
            let wanted: i64 = claims.values().map(|&(guaranteed, held)| guaranteed.max(held)).sum();
            (wanted - i64::from(capacity.accelerators)).max(0)
        });
        overlap.collect()
    }

    /// Checks that preempting borrowers would free every guaranteed shape.
    pub fn check_reclaim(&mut self, plan: &Plan) -> Result<(), Fault> {
        let overlap = self.overlap(plan);
        if let Some(worker) = (0..overlap.len()).find(|&worker| overlap[worker] > self.tolerated[worker]) {
            return Err(Fault::NotReclaimable { worker });
        }
        self.tolerated = overlap;
        Ok(())
    }

    /// Accepts the overlap that a new plan causes with work that already runs.
    pub fn tolerate(&mut self, plan: &Plan) {
        self.tolerated = self.overlap(plan);
    }

    /// Accelerators of guarantees that cannot be reclaimed yet because of a change of plan.
    pub fn tolerated(&self) -> i64 {
        self.tolerated.iter().sum()
    }

    /// Checks that the plan lies on workers that may take work and fits them.
    pub fn check_plan(&self, plan: &Plan, usable: &[bool]) -> Result<(), Fault> {
        let mut planned = vec![[0; 4]; self.capacity.len()];
        for slice in &plan.slices {
            for &(worker, parts) in &slice.workers {
                let worker = worker as usize;
                let need = Plan::need_on(slice.shape, self.capacity[worker]);
                for (sum, need) in planned[worker].iter_mut().zip(parts_of(need)) {
                    *sum += need * u64::from(parts);
                }
                let capacity = parts_of(self.capacity[worker]);
                if !usable[worker]
                    || planned[worker]
                        .iter()
                        .zip(capacity)
                        .any(|(sum, capacity)| *sum > capacity)
                {
                    return Err(Fault::PlanInfeasible { worker });
                }
            }
        }
        Ok(())
    }
}

fn parts_of(resources: Resources) -> [u64; 4] {
    [
        resources.slots.into(),
        resources.accelerators.into(),
        resources.cpu_milli.into(),
        resources.memory_mib.into(),
    ]
}
