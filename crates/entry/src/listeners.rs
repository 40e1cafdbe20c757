use std::net::{SocketAddr, TcpListener};

use conf::Settings;

use crate::EntryError;

/// Sockets of an entry daemon, bound before it starts so that an address in use is reported at once.
#[derive(Debug)]
pub struct Listeners {
    pub(crate) http: TcpListener,
    pub(crate) peer: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns [`EntryError::Listen`] with the address that cannot be bound.
    pub fn bind(settings: &Settings) -> Result<Self, EntryError> {
        Ok(Self {
            http: open(settings.http_address)?,
            peer: open(settings.peer_address)?,
        })
    }

    /// Creates listeners from sockets that are already bound.
    pub const fn new(http: TcpListener, peer: TcpListener) -> Self {
        Self { http, peer }
    }
}

fn open(address: SocketAddr) -> Result<TcpListener, EntryError> {
    listen::bind(address).map_err(|source| EntryError::Listen { address, source })
}
