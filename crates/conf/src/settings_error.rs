use thiserror::Error;

/// Error for settings that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The text is not valid JSON with comments, a key is unknown or missing, or a value has the wrong type.
    #[error("settings do not parse: {message}")]
    Parse {
        /// Message of the parser, with line, column and key where known.
        message: String,
    },
    /// A value is out of range or not a whole number.
    #[error("{key} is {value}; allowed are whole numbers from {min} to {max} ({unit})")]
    OutOfRange {
        /// Key.
        key: &'static str,
        /// Rejected value.
        value: String,
        /// Least allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
        /// Unit of the value.
        unit: &'static str,
    },
    /// A URL does not start with `http://`.
    #[error("{key} is {value:?}; expected http://IP:PORT")]
    InvalidUrl {
        /// Key.
        key: &'static str,
        /// Rejected value.
        value: String,
    },
    /// A peer is listed twice, or is the instance itself.
    #[error("peers lists {instance} twice or lists the instance itself")]
    DuplicatePeer {
        /// Instance.
        instance: model::InstanceId,
    },
    /// A budget of bytes does not hold a single body or message of the largest size.
    #[error(
        "intake.{key} leaves {budget_bytes} bytes, but {needed_bytes} are needed for the largest body; \
        raise it or memory_mb, or lower max_body_bytes"
    )]
    BudgetTooSmall {
        /// Key of the budget.
        key: &'static str,
        /// Bytes of the budget.
        budget_bytes: u64,
        /// Bytes that are needed at least.
        needed_bytes: u64,
    },
    /// The limit on connections leaves no descriptors to the process's own calls, or is 0.
    #[error("intake allows {max_connections} connections with max_fds {max_fds} and reserved_fds {reserved_fds}")]
    ConnectionsAboveDescriptors {
        /// Limit on connections.
        max_connections: u64,
        /// Descriptors of the machine.
        max_fds: u64,
        /// Descriptors kept for the process's own calls.
        reserved_fds: u64,
    },
}
