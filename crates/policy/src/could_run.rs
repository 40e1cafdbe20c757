use model::{Adjacency, Resources};

use crate::amount::Amount;
use crate::guaranteed_share::GuaranteedShare;
use crate::worker::Worker;
use crate::{JobKey, WorkerKey};

impl GuaranteedShare {
    /// Returns whether the job could start here once all other deferred work has ended.
    ///
    /// Scans every worker, so callers ask only for jobs that have waited for some time.
    pub(crate) fn fits_when_idle(&self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(key) else { return true };
        let borrows = job.idempotent || job.checkpointable;
        // An owner may use guaranteed capacity; whether its share is large enough was checked by the plan.
        let owns_a_share = self.orgs[usize::from(job.organisation)].guaranteed != Amount::default();
        let usable_capacity = |worker: &Worker| -> Amount {
            let ungranted = worker.capacity - worker.granted;
            if borrows || owns_a_share {
                ungranted
            } else {
                ungranted - worker.guaranteed
            }
        };
        let count = |key: &WorkerKey| -> u32 {
            let worker = &self.cluster.workers[*key];
            if !worker.is_usable() {
                return 0;
            }
            Resources::from(usable_capacity(worker)).count_of(job.need).into()
        };
        let parts = u32::from(job.shape.parts);
        match job.shape.adjacency {
            Adjacency::Worker => self.cluster.order.iter().any(|key| count(key) >= parts),
            Adjacency::Rack => self
                .cluster
                .racks
                .iter()
                .any(|rack| rack.iter().map(count).sum::<u32>() >= parts),
            Adjacency::DataCentre => (0..self.cluster.dcs.len()).any(|dc| {
                let inside = self
                    .cluster
                    .order
                    .iter()
                    .filter(|key| self.cluster.workers[**key].dc == dc);
                inside.map(count).sum::<u32>() >= parts
            }),
        }
    }
}
