use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Error for a deployment that could not be started or controlled.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A program was not built.
    #[error("{name} is not in {folder}; run cargo build --workspace --bins first", folder = folder.display())]
    NotBuilt {
        /// Name of the program.
        name: String,
        /// Folder that was searched.
        folder: PathBuf,
    },
    /// A system call failed.
    #[error("{context}: {source}")]
    Io {
        /// Operation or object that failed.
        context: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A process did not become ready in time.
    #[error("{condition} is not ready after {waited_ms} ms")]
    NotReady {
        /// Process or condition that was waited for.
        condition: String,
        /// Waiting time in milliseconds.
        waited_ms: u128,
    },
    /// A process exited while the deployment started.
    #[error("{name} has exited: {log}")]
    Exited {
        /// Name of the process.
        name: String,
        /// End of its log.
        log: String,
    },
    /// A request to a process failed.
    #[error("{url} answered {status}")]
    Http {
        /// URL of the request.
        url: String,
        /// HTTP status, or 0 if there was no reply.
        status: u16,
    },
    /// A load run could not be carried out.
    #[error(transparent)]
    Load(#[from] load::LoadError),
}

impl FleetError {
    /// Creates an error from an I/O error.
    pub fn io(context: impl Into<String>, source: io::Error) -> Self {
        Self::Io {
            context: context.into(),
            source,
        }
    }
}
