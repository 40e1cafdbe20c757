use std::collections::BTreeSet;

use model::{Config, DataCentreId, OrganisationId, Resources, Topology};
use policy::Plan;

/// Returns the data centres that provide guaranteed shapes of an organisation, as every scheduler computes them.
///
/// A job that must be able to reclaim its owner's shape has to go where that shape is.
pub(crate) fn homes(topology: &Topology, config: &Config, organisation: &OrganisationId) -> BTreeSet<DataCentreId> {
    let usable: Vec<Resources> = topology
        .data_centres
        .iter()
        .flat_map(|dc| {
            let in_service = config.is_in_service(&dc.id);
            dc.workers().map(move |worker| {
                if in_service {
                    worker.capacity
                } else {
                    Resources::default()
                }
            })
        })
        .collect();
    let owners: Vec<&DataCentreId> = topology
        .data_centres
        .iter()
        .flat_map(|dc| dc.workers().map(|_| &dc.id))
        .collect();
    Plan::compute(config, topology, &usable, &Plan::default())
        .slices
        .iter()
        .filter(|slice| slice.organisation == *organisation)
        .filter_map(|slice| slice.workers.first())
        .filter_map(|(position, _)| owners.get(*position as usize))
        .map(|dc| DataCentreId::clone(dc))
        .collect()
}
