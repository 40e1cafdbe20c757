use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Error for a daemon that cannot run.
#[derive(Debug, Error)]
pub(crate) enum DaemonError {
    /// The settings cannot be read.
    #[error("cannot read settings {path}: {source}")]
    Read { path: PathBuf, source: io::Error },
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] conf::SettingsError),
    /// The instance cannot start.
    #[error(transparent)]
    Entry(#[from] entry::EntryError),
    /// The instance of a domain cannot start.
    #[error(transparent)]
    Platform(#[from] platform::AdapterError),
    /// The log cannot be written.
    #[error("cannot log: {0}")]
    Log(io::Error),
    /// A part of the process has ended, by a panic or otherwise.
    #[error("a part of the process has ended: {part}")]
    PartEnded { part: &'static str },
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}
