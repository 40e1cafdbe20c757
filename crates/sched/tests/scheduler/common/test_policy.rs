use model::{DataCentre, Rack, Resources, Topology, Worker, WorkerId};
use policy::{GuaranteedShare, Policy};

use super::FirstFit;

/// Policy that a simulation can create for its workers, all in one rack of `dc1`.
pub trait TestPolicy: Policy + Sized {
    /// Creates the policy for equal workers.
    fn for_workers(workers: &[WorkerId], capacity: Resources) -> Self;
}

impl TestPolicy for FirstFit {
    fn for_workers(workers: &[WorkerId], capacity: Resources) -> Self {
        Self::new(workers, capacity)
    }
}

impl TestPolicy for GuaranteedShare {
    fn for_workers(workers: &[WorkerId], capacity: Resources) -> Self {
        let worker = |id: &WorkerId| Worker {
            id: id.clone(),
            capacity,
            connections: 64,
        };
        let dc = |id: &str, workers| DataCentre {
            id: id.parse().unwrap(),
            region: "north".into(),
            racks: vec![Rack {
                id: format!("{id}-r1").parse().unwrap(),
                workers,
            }],
        };
        let topology = Topology {
            data_centres: vec![dc("dc1", workers.iter().map(worker).collect()), dc("dc2", Vec::new())],
        };
        Self::new(&topology).serving(["dc1".parse().unwrap()])
    }
}
