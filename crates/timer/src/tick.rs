use actix::Message;

/// Message to a subscriber that its interval has elapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Tick {
    /// Number set by the subscriber to tell its subscriptions apart.
    pub topic: u32,
}

impl Message for Tick {
    type Result = ();
}
