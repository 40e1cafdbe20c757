use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Error for an entry daemon that cannot start.
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
