use std::net::SocketAddr;

use model::{DataCentreId, InstanceId};
use serde::Deserialize;

/// Another entry instance, as listed in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Address of its gRPC interface.
    pub peer_address: SocketAddr,
}
