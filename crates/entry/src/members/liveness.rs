use std::collections::BTreeSet;

use model::{InstanceId, WorkerId};
use store::{ListedState, Listing};
use trace::{Event, EventKind};

use super::{PeerStatus, PeerView};
use crate::context::Context as Shared;

/// Returns the workers that the platform lists as draining.
pub(super) fn draining_workers(listing: &Listing) -> BTreeSet<&WorkerId> {
    let workers = listing
        .workers
        .iter()
        .filter(|worker| worker.state == ListedState::Leaving);
    workers.map(|worker| &worker.id).collect()
}

/// Returns the status of a peer. Once it has sent a heartbeat, neither a lack of heartbeats alone nor the platform's
/// list alone makes it dead.
pub(super) fn peer_status(
    instance: &InstanceId,
    age_ms: Option<u64>,
    listing: &Listing,
    shared: &Shared,
) -> PeerStatus {
    let settings = &shared.settings;
    let Some(age_ms) = age_ms else {
        return PeerStatus::Dead;
    };
    if age_ms < settings.peer_suspect_ms {
        return PeerStatus::Live;
    }
    let is_listed = listing
        .entries
        .iter()
        .any(|entry| entry.id == *instance && entry.state == ListedState::Live);
    if age_ms < settings.peer_dead_ms || is_listed {
        PeerStatus::Suspect
    } else {
        PeerStatus::Dead
    }
}

/// Records that a peer became live or stopped being live.
pub(super) fn record_change(shared: &Shared, peer: &PeerView, status: PeerStatus) {
    let kind = match (peer.status, status) {
        (PeerStatus::Live, PeerStatus::Live) => return,
        (_, PeerStatus::Live) => EventKind::PeerUp,
        (PeerStatus::Live, _) => EventKind::PeerDown,
        _ => return,
    };
    let event = Event::new(kind).data_centre(peer.data_centre.clone());
    shared.timeline.push(event.cause(peer.instance.as_str()));
}
