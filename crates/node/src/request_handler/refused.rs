use thiserror::Error;

/// Reason for refusing a call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Refused {
    /// No configuration has been read yet.
    #[error("no configuration yet")]
    NoConfig,
    /// The configuration, which includes the keys, may be out of date.
    #[error("the configuration may be out of date")]
    StaleConfig,
    /// No such queue.
    #[error("no such queue")]
    UnknownRoute,
    /// The key is missing or unknown.
    #[error("the key is missing or unknown")]
    UnknownKey,
    /// The request is malformed.
    #[error("{0}")]
    Invalid(&'static str),
    /// A gang or task of the job alone exceeds the maximum of its organisation, so that it could never run.
    #[error("a gang or task of the job exceeds the maximum of its organisation")]
    OverMaximum,
    /// The body is larger than the limit.
    #[error("the body is larger than the limit")]
    TooLarge,
    /// The requests that are being answered take the memory that is kept for them; the call had no effect.
    #[error("other requests take the memory kept for them")]
    NoRoom,
    /// The id belongs to a job of another queue or organisation.
    #[error("the id is in use for another job")]
    IdInUse,
    /// No such job.
    #[error("no such job")]
    UnknownJob,
    /// The store is unavailable; the call had no effect.
    #[error("the store is unavailable")]
    StoreUnavailable,
    /// The store did not reply; the call may have taken effect.
    #[error("the outcome is unknown")]
    InDoubt,
}

impl Refused {
    /// Returns a short name for logs and metrics.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::StaleConfig => "stale_config",
            Self::UnknownRoute => "unknown_route",
            Self::UnknownKey => "unknown_key",
            Self::Invalid(_) => "invalid",
            Self::OverMaximum => "over_maximum",
            Self::NoRoom => "no_room",
            Self::TooLarge => "too_large",
            Self::IdInUse => "id_in_use",
            Self::UnknownJob => "unknown_job",
            Self::StoreUnavailable => "store_unavailable",
            Self::InDoubt => "in_doubt",
        }
    }
}
