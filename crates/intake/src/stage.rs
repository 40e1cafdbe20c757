/// Stage of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No request in progress.
    Idle,
    /// Part of a head has arrived.
    Head,
    /// The head is complete, the body is not.
    Body,
    /// The request is complete and is being answered.
    Handling,
    /// The reply is being written.
    Reply,
    /// The request was answered before the end of its body, the rest of which is dropped.
    Linger,
}

impl Stage {
    /// Returns the rank in which connections are closed at the limit on connections; `None` if they are not.
    pub(crate) const fn eviction_rank(self) -> Option<u8> {
        match self {
            Self::Idle => Some(0),
            Self::Linger => Some(1),
            Self::Head | Self::Body => Some(2),
            Self::Handling | Self::Reply => None,
        }
    }
}
