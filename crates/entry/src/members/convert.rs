use model::{ConfigVersion, Epoch, InvalidId};
use net::peer::PeerState;

use super::{PeerStatus, PeerView};

/// Converts a state to its wire form.
pub(crate) fn peer_state(view: &PeerView) -> PeerState {
    let (scheduler_of, epoch) = view
        .scheduler_of
        .as_ref()
        .map_or((String::new(), 0), |(dc, epoch)| (dc.to_string(), epoch.0));
    PeerState {
        instance: view.instance.to_string(),
        data_centre: view.data_centre.to_string(),
        config_version: view.config_version.0,
        started_unix_ms: view.started_unix_ms,
        heartbeat: view.heartbeat,
        stopping: view.stopping,
        store_reachable: view.store_reachable,
        scheduler_of,
        epoch,
        granted_slots: view.granted_slots,
        busy_slots: view.busy_slots,
        local_out: view.local_out,
        age_ms: view.age_ms,
        free_accelerators: view.free_accelerators,
    }
}

/// Converts a state from its wire form, with status live.
///
/// # Errors
///
/// Returns [`InvalidId`] if an id is not valid.
pub(crate) fn peer_view(state: &PeerState) -> Result<PeerView, InvalidId> {
    let scheduler_of = if state.scheduler_of.is_empty() {
        None
    } else {
        Some((state.scheduler_of.parse()?, Epoch(state.epoch)))
    };
    Ok(PeerView {
        instance: state.instance.parse()?,
        data_centre: state.data_centre.parse()?,
        status: PeerStatus::Live,
        age_ms: state.age_ms,
        config_version: ConfigVersion(state.config_version),
        started_unix_ms: state.started_unix_ms,
        heartbeat: state.heartbeat,
        stopping: state.stopping,
        store_reachable: state.store_reachable,
        scheduler_of,
        granted_slots: state.granted_slots,
        busy_slots: state.busy_slots,
        local_out: state.local_out,
        free_accelerators: state.free_accelerators,
    })
}
