use actix::Message;

use crate::ports::{OwnRow, TxnError};

/// Rows of the lease as read or changed.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct LeaseRows {
    pub rows: Vec<OwnRow>,
    /// The store was not heard before, or not for a while.
    pub is_first_look: bool,
}

/// The feed of the lease failed: silence means nothing until it is back.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct FeedLost;

/// Reply to a renewal.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Renewed {
    pub epoch: u64,
    pub sent_ms: u64,
    pub result: Result<u64, TxnError>,
}

/// Reply to a takeover.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Taken {
    pub epoch: u64,
    pub sent_ms: u64,
    pub result: Result<u64, TxnError>,
}

/// The scheduler found that a newer epoch exists.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Deposed {
    pub epoch: u64,
    pub cause: &'static str,
}

/// The instance stops: the lease is given up.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Release;
