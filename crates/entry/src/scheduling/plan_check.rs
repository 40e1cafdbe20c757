use model::{Config, DataCentreId, Topology};
use policy::{GuaranteedShare, PlanError, Policy};
use store::Listing;

use super::topology_of;

/// Placement policy in use.
pub(crate) type ActivePolicy = GuaranteedShare;

/// Creates the policy of one data centre's scheduler; it plans guarantees over the whole topology.
pub(crate) fn new_policy(topology: &Topology, data_centre: &DataCentreId) -> ActivePolicy {
    GuaranteedShare::new(topology).serving([data_centre.clone()])
}

/// Checks that the guarantees of a configuration can be packed on the workers that the platform lists.
///
/// # Errors
///
/// Returns [`PlanError`] with the organisation and shape that do not fit.
pub(crate) fn check_plan(listing: &Listing, previous: Option<&Config>, config: &Config) -> Result<(), PlanError> {
    let mut policy = GuaranteedShare::new(&topology_of(listing));
    if let Some(previous) = previous {
        // Keeps shapes in place if they still fit; a previous configuration that no longer fits is ignored.
        let _ = policy.configure(0, previous);
    }
    policy.configure(0, config)
}
