use std::fmt;

/// Kind of job in the mix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobKind {
    /// Urgent and idempotent: a price quote or a branch query.
    Quote,
    /// Urgent and non-idempotent: a promise that must not be given twice.
    Promise,
    /// Deferred and non-idempotent: a revaluation that must not be billed twice.
    Revaluation,
    /// Deferred gang of whole workers that can be checkpointed.
    Gang,
    /// Job that is larger than any data centre.
    Oversized,
}

impl JobKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Quote,
        Self::Promise,
        Self::Revaluation,
        Self::Gang,
        Self::Oversized,
    ];

    /// Returns the name in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Quote => "quote",
            Self::Promise => "promise",
            Self::Revaluation => "revaluation",
            Self::Gang => "gang",
            Self::Oversized => "oversized",
        }
    }
}

impl fmt::Display for JobKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
