use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::FleetError;

/// Returns `count` free loopback addresses. All are bound simultaneously, so they are distinct.
pub(crate) fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, FleetError> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners: Result<Vec<TcpListener>, _> = (0..count).map(bind).collect();
    let addresses: Result<Vec<SocketAddr>, _> =
        listeners.and_then(|listeners| listeners.iter().map(TcpListener::local_addr).collect());
    addresses.map_err(|source| FleetError::io("free ports", source))
}
