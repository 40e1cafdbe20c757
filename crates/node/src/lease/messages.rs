use actix::Message;

use crate::ports::{OwnRow, TxnError};

/// Lease rows that were read or that changed.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct LeaseRows {
    pub rows: Vec<OwnRow>,
    /// First rows since the start or since the feed last failed.
    pub is_first_read: bool,
}

/// The lease feed failed: until it recovers, an unchanged lease does not mean that its holder is unresponsive.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct FeedFailed;

/// Reply to a renewal.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct RenewalReply {
    pub epoch: u64,
    pub sent_ms: u64,
    pub result: Result<u64, TxnError>,
}

/// Reply to the write that takes the lease over.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct TakeoverReply {
    pub epoch: u64,
    pub sent_ms: u64,
    /// Time by which the former holder has stopped acting.
    pub former_acts_until_ms: u64,
    pub result: Result<u64, TxnError>,
}

/// Reply to the write of a claim.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct ClaimReply(pub Result<u64, TxnError>);

/// The scheduler found evidence of a newer epoch.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Deposed {
    pub epoch: u64,
    pub cause: &'static str,
}

/// Request to release the lease because the instance is stopping.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct Release;
