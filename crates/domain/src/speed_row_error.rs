use thiserror::Error;

/// Reason for which a row of the table `worker_speeds` is ignored.
#[derive(Debug, Error)]
pub enum SpeedRowError {
    /// Another release wrote the row.
    #[error("format {format} is not known")]
    UnknownFormat {
        /// Format version of the row.
        format: u32,
    },
    /// The row is not what this format version prescribes.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}
