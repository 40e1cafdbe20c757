use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// Error of starting or running a stand-in.
#[derive(Debug, Error)]
pub enum StandinError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The file with the list of instances cannot be read.
    #[error("cannot read the list of instances from {}", path.display())]
    ReadList {
        /// File.
        path: PathBuf,
        /// Cause.
        #[source]
        source: io::Error,
    },
    /// The file with the list of instances is not valid.
    #[error("list of instances in {} is not valid", path.display())]
    ParseList {
        /// File.
        path: PathBuf,
        /// Cause.
        #[source]
        source: serde_json::Error,
    },
    /// Signals cannot be handled.
    #[error("cannot handle signals")]
    Signals(#[source] io::Error),
    /// A server ended with an error.
    #[error("server failed")]
    Serve(#[source] io::Error),
}
