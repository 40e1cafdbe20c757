use std::collections::{HashMap, VecDeque};

use model::JobId;

/// Request ids of urgent idempotent requests that this instance served recently, with the digests of their bodies.
///
/// Such requests write nothing to the store, so a reused id is detected only here.
#[derive(Debug, Default)]
pub(super) struct RecentIds {
    digests: HashMap<JobId, String>,
    order: VecDeque<JobId>,
}

impl RecentIds {
    const MAX_IDS: usize = 10_000;

    /// Records a request and returns whether its id was used with another body.
    pub(super) fn is_reused(&mut self, job: &JobId, digest: String) -> bool {
        if let Some(known) = self.digests.get(job) {
            return *known != digest;
        }
        if self.order.len() == Self::MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.digests.remove(&oldest);
        }
        self.order.push_back(job.clone());
        self.digests.insert(job.clone(), digest);
        false
    }
}
