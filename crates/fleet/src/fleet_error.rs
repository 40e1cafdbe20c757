use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Reason why a deployment could not be started or steered.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A program has not been built.
    #[error("{name} is not in {folder}; run cargo build --workspace --bins first", folder = folder.display())]
    NotBuilt {
        /// Program.
        name: String,
        /// Folder that was searched.
        folder: PathBuf,
    },
    /// A system call failed.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// Error of the system.
        source: io::Error,
    },
    /// A process did not become ready in time.
    #[error("{what} is not ready after {waited_ms} ms")]
    NotReady {
        /// Process or condition.
        what: String,
        /// How long was waited, in milliseconds.
        waited_ms: u128,
    },
    /// A request to a process failed.
    #[error("{url} answered {status}")]
    Http {
        /// Address.
        url: String,
        /// Status, or 0 if there was no reply.
        status: u16,
    },
    /// A load run could not be carried out.
    #[error(transparent)]
    Load(#[from] load::LoadError),
}

impl FleetError {
    /// Creates an error from one of the system.
    pub fn io(what: impl Into<String>, source: io::Error) -> Self {
        Self::Io {
            what: what.into(),
            source,
        }
    }
}
