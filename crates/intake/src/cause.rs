/// Cause for which a connection is closed or not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The budget of bytes was exceeded.
    Budget,
    /// Another connection was accepted at the limit on connections.
    Evicted,
    /// Every connection was answering a request at the limit on connections.
    Full,
    /// The head was too large.
    HeadSize,
    /// The head did not end in time.
    HeadTimeout,
    /// The body did not end in time or arrived too slowly.
    BodyTimeout,
    /// No request arrived.
    IdleTimeout,
    /// The reply was not read.
    WriteTimeout,
    /// The rest of a refused body was too long or took too long.
    Linger,
    /// The process stops.
    Stopping,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 10] = [
        Self::Budget,
        Self::Evicted,
        Self::Full,
        Self::HeadSize,
        Self::HeadTimeout,
        Self::BodyTimeout,
        Self::IdleTimeout,
        Self::WriteTimeout,
        Self::Linger,
        Self::Stopping,
    ];

    /// Returns the name for logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Evicted => "evicted",
            Self::Full => "full",
            Self::HeadSize => "head_size",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::IdleTimeout => "idle_timeout",
            Self::WriteTimeout => "write_timeout",
            Self::Linger => "linger",
            Self::Stopping => "stopping",
        }
    }
}
