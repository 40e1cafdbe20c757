use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Error of starting an entry daemon.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}
