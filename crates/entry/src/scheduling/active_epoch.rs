use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use model::{Config, Epoch, InstanceId, WorkerId};
use sched::Scheduler;

use super::ActivePolicy;
use super::grant_registry::GrantRegistry;
use super::grant_yield::GrantYield;

/// State of a driver while its instance holds the scheduling lease; dropped at the end of the epoch.
#[derive(Debug)]
pub(super) struct ActiveEpoch {
    pub(super) epoch: Epoch,
    pub(super) elected_ms: u64,
    pub(super) scheduler: Scheduler<ActivePolicy>,
    pub(super) addresses: HashMap<WorkerId, String>,
    pub(super) draining: BTreeSet<WorkerId>,
    pub(super) grants: GrantRegistry,
    /// Instances to which a delivery of grants is in flight.
    pub(super) deliveries_in_flight: BTreeSet<InstanceId>,
    /// Whether the grants yield to a wide job.
    pub(super) grant_yield: GrantYield,
    /// Granted slots that each live instance wants.
    pub(super) wanted: BTreeMap<InstanceId, u16>,
    pub(super) config: Option<Arc<Config>>,
    pub(super) store_reachable: bool,
    pub(super) is_handing_over: bool,
    pub(super) is_stopping_permanently: bool,
}
