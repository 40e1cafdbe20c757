use std::collections::BTreeMap;

use model::{Adjacency, DataCentre, DataCentreId, JobSpec, Rack, RackId, Topology, Worker};
use store::{ListedWorker, Listing};

/// Builds the topology from the platform's list, in order of data centre, rack and position.
pub(crate) fn topology_of(listing: &Listing) -> Topology {
    type Racks<'a> = BTreeMap<&'a RackId, Vec<&'a ListedWorker>>;
    let mut data_centres: BTreeMap<&DataCentreId, (&str, Racks<'_>)> = BTreeMap::new();
    for worker in &listing.workers {
        let (_, racks) = data_centres
            .entry(&worker.data_centre)
            .or_insert_with(|| (worker.region.as_str(), Racks::new()));
        racks.entry(&worker.rack).or_default().push(worker);
    }
    let build_rack = |(id, mut workers): (&RackId, Vec<&ListedWorker>)| {
        workers.sort_by_key(|worker| worker.position);
        let workers = workers.into_iter().map(|worker| Worker {
            id: worker.id.clone(),
            capacity: worker.capacity,
            connections: worker.connections,
        });
        Rack {
            id: id.clone(),
            workers: workers.collect(),
        }
    };
    let build = |(id, (region, racks)): (&DataCentreId, (&str, Racks<'_>))| DataCentre {
        id: id.clone(),
        region: region.into(),
        racks: racks.into_iter().map(build_rack).collect(),
    };
    Topology {
        data_centres: data_centres.into_iter().map(build).collect(),
    }
}

/// Returns whether the job would fit into the data centre if it were empty.
pub(crate) fn fits_empty(data_centre: &DataCentre, job: &JobSpec) -> bool {
    let need = job.need_per_part();
    let parts = u32::from(job.shape.parts);
    let parts_that_fit = |worker: &Worker| u32::from(worker.capacity.count_of(need));
    match job.shape.adjacency {
        Adjacency::Worker => data_centre.workers().any(|worker| parts_that_fit(worker) >= parts),
        Adjacency::Rack => data_centre
            .racks
            .iter()
            .any(|rack| rack.workers.iter().map(parts_that_fit).sum::<u32>() >= parts),
        Adjacency::DataCentre => data_centre.workers().map(parts_that_fit).sum::<u32>() >= parts,
    }
}
