use std::collections::BTreeSet;

use model::{InstanceId, WorkerId};
use store::{ListedState, Listing};
use trace::{Event, EventKind};

use super::{PeerStatus, PeerView};
use crate::context::Context as Shared;

/// Returns the workers that the platform lists as leaving.
pub(super) fn leaving(listing: &Listing) -> BTreeSet<&WorkerId> {
    let leaving = listing
        .workers
        .iter()
        .filter(|worker| worker.state == ListedState::Leaving);
    leaving.map(|worker| &worker.id).collect()
}

/// Neither silence alone nor the platform's list alone makes a peer dead.
pub(super) fn status(instance: &InstanceId, age_ms: Option<u64>, listing: &Listing, shared: &Shared) -> PeerStatus {
    let settings = &shared.settings;
    let Some(age_ms) = age_ms else {
        return PeerStatus::Dead;
    };
    if age_ms < settings.peer_suspect_ms {
        return PeerStatus::Live;
    }
    let listed = listing
        .entries
        .iter()
        .any(|entry| entry.id == *instance && entry.state == ListedState::Live);
    if age_ms < settings.peer_dead_ms || listed {
        PeerStatus::Suspect
    } else {
        PeerStatus::Dead
    }
}

/// Records that a peer began or stopped answering.
pub(super) fn record_change(shared: &Shared, peer: &PeerView, status: PeerStatus) {
    let kind = match (peer.status, status) {
        (PeerStatus::Live, PeerStatus::Live) => return,
        (_, PeerStatus::Live) => EventKind::PeerUp,
        (PeerStatus::Live, _) => EventKind::PeerDown,
        _ => return,
    };
    let event = Event::new(kind).data_centre(peer.data_centre.clone());
    shared.journal.push(event.cause(peer.instance.as_str()));
}
