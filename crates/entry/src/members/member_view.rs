use model::{DataCentreId, InstanceId};

use super::{PeerStatus, PeerView};

/// Known peers, sorted by id, without the instance itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct MemberView {
    pub(crate) peers: Vec<PeerView>,
}

impl MemberView {
    pub(crate) fn peer(&self, instance: &InstanceId) -> Option<&PeerView> {
        self.peers.iter().find(|peer| peer.instance == *instance)
    }

    pub(crate) fn in_data_centre<'a>(&'a self, data_centre: &'a DataCentreId) -> impl Iterator<Item = &'a PeerView> {
        self.peers.iter().filter(move |peer| peer.data_centre == *data_centre)
    }

    /// Returns the live peer with the lowest id in a data centre, which relays states between the data centres.
    pub(crate) fn delegate<'a>(&'a self, data_centre: &'a DataCentreId) -> Option<&'a PeerView> {
        self.in_data_centre(data_centre)
            .find(|peer| peer.status == PeerStatus::Live)
    }
}
