use thiserror::Error;

/// Error for settings that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The text is not JSON with comments, a key is unknown or missing, or a value has the wrong type.
    #[error("settings do not parse: {message}")]
    Parse {
        /// What the parser found, with line, column and key where known.
        message: String,
    },
    /// A value is out of range.
    #[error("{key} is {value} {unit}; allowed are {min} to {max} {unit}")]
    OutOfRange {
        /// Key.
        key: &'static str,
        /// Rejected value.
        value: u64,
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
}
