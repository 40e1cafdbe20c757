use std::collections::{BTreeMap, BTreeSet};

use model::{Config, DataCentreId, JobSpec, OrganisationId, Resources, Topology};
use policy::Plan;

/// Data centres that hold each organisation's guaranteed shapes, computed alike by every scheduler.
///
/// A job that must be able to reclaim its owner's shape has to run in the data centre of that shape. Work that can
/// neither be stopped nor checkpointed runs only there or on capacity that is guaranteed to nobody.
#[derive(Debug, Default)]
pub(crate) struct PlanHomes {
    homes: BTreeMap<OrganisationId, BTreeSet<DataCentreId>>,
    /// Accelerators of each data centre that are guaranteed to nobody.
    spare_accelerators: BTreeMap<DataCentreId, u32>,
}

impl PlanHomes {
    pub(crate) fn compute(topology: &Topology, config: &Config) -> Self {
        let mut owners = Vec::new();
        let mut usable = Vec::new();
        let mut plan_homes = Self::default();
        for dc in &topology.data_centres {
            let in_service = config.is_in_service(&dc.id);
            for worker in dc.workers() {
                owners.push(&dc.id);
                usable.push(if in_service {
                    worker.capacity
                } else {
                    Resources::default()
                });
            }
            let total = dc.workers().map(|worker| u32::from(worker.capacity.accelerators)).sum();
            plan_homes.spare_accelerators.insert(dc.id.clone(), total);
        }
        for slice in Plan::compute(config, topology, &usable, &Plan::default()).slices {
            let home = slice
                .workers
                .first()
                .and_then(|(position, _)| owners.get(*position as usize));
            let Some(home) = home else { continue };
            if let Some(spare) = plan_homes.spare_accelerators.get_mut(*home) {
                *spare = spare.saturating_sub(slice.shape.accelerators());
            }
            let homes = plan_homes.homes.entry(slice.organisation).or_default();
            homes.insert(DataCentreId::clone(home));
        }
        plan_homes
    }

    /// Returns whether the data centre provides a guaranteed shape of the organisation.
    pub(crate) fn is_home(&self, organisation: &OrganisationId, data_centre: &DataCentreId) -> bool {
        self.homes
            .get(organisation)
            .is_some_and(|homes| homes.contains(data_centre))
    }

    /// Returns whether the guarantees of other organisations allow the job to run in the data centre.
    pub(crate) fn admits(&self, job: &JobSpec, data_centre: &DataCentreId) -> bool {
        let spare = self.spare_accelerators.get(data_centre).copied().unwrap_or(0);
        job.is_preemptible() || self.is_home(&job.organisation, data_centre) || spare >= job.shape.accelerators()
    }
}
