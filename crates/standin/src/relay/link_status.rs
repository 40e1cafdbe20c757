use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::LinkMode;

/// Link as `GET /v1/links` shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Name.
    pub name: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Address that it passes connections on to.
    pub target: SocketAddr,
    /// Mode.
    pub mode: LinkMode,
    /// Open connections.
    pub connections: usize,
    /// Connections accepted since the start.
    pub accepted: u64,
}
