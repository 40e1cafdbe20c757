use std::path::PathBuf;

use conf::SheetErrors;
use thiserror::Error;

use crate::{ExitStatus, Problem};

/// Error of a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A file cannot be read or written.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file or argument is not valid JSON for its purpose.
    #[error("{input}: {source}")]
    Json {
        /// Name of the argument, or path of the file.
        input: String,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// The sheet has faults.
    #[error("{0}")]
    Sheet(#[from] SheetErrors),
    /// An identifier on the command line is not valid.
    #[error(transparent)]
    Id(#[from] model::InvalidId),
    /// An entry instance answered with problem details.
    #[error("{}: {}", .0.code, .0.detail)]
    Problem(Problem),
    /// No entry instance answered.
    #[error("no entry instance answers; tried {tried}")]
    Unreachable {
        /// Addresses that were tried.
        tried: String,
    },
    /// The reply does not conform to the protocol.
    #[error("answer of the entry instance is not valid: {message}")]
    Protocol {
        /// What is wrong.
        message: String,
    },
}

impl CommandError {
    /// Returns the exit code of the program.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File { .. } | Self::Json { .. } | Self::Sheet(_) | Self::Id(_) => ExitStatus::Usage,
            Self::Unreachable { .. } | Self::Protocol { .. } => ExitStatus::Unreachable,
            Self::Problem(problem) => match problem.status {
                404 => ExitStatus::NotFound,
                409 | 412 if problem.did_not_run != Some(true) => ExitStatus::Conflict,
                _ if problem.did_not_run == Some(true) => ExitStatus::Refused,
                400 | 405 | 413 | 415 | 422 => ExitStatus::Usage,
                _ => ExitStatus::Unreachable,
            },
        }
    }
}
