use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use model::{Config, Epoch, InstanceId, WorkerId};
use sched::Scheduler;

use super::ActivePolicy;
use super::grant_book::GrantBook;
use super::grant_yield::GrantYield;

/// What a driver keeps while its instance holds the lease; it is dropped with the epoch.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) epoch: Epoch,
    pub(super) elected_ms: u64,
    pub(super) scheduler: Scheduler<ActivePolicy>,
    pub(super) addresses: HashMap<WorkerId, String>,
    pub(super) leaving: BTreeSet<WorkerId>,
    pub(super) grants: GrantBook,
    /// Instances to which a delivery of grants is under way.
    pub(super) delivering: BTreeSet<InstanceId>,
    /// Whether the grants give way to a wide job.
    pub(super) grant_yield: GrantYield,
    /// Granted slots that each live instance wants.
    pub(super) wanted: BTreeMap<InstanceId, u16>,
    pub(super) config: Option<Arc<Config>>,
    pub(super) store_reachable: bool,
    pub(super) stepping_aside: bool,
    pub(super) stopping_for_good: bool,
}
