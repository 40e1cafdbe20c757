use actix::Message;

/// Notice to a subscriber that its interval passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Tick {
    /// Number that the subscriber chose, to tell its subscriptions apart.
    pub topic: u32,
}

impl Message for Tick {
    type Result = ();
}
