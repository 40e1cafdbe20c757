use std::sync::Arc;

use crate::{Cause, PeerIntake, PeerKey, PeerTable};

/// Handle of an open connection of another instance; the connection counts as open until the last clone is dropped.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    open: Arc<Open>,
}

#[derive(Debug)]
struct Open {
    intake: PeerIntake,
    key: PeerKey,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.intake.with(|table, _| table.remove(self.key));
    }
}

impl PeerConnection {
    pub(crate) fn new(intake: PeerIntake, key: PeerKey) -> Self {
        Self {
            open: Arc::new(Open { intake, key }),
        }
    }

    /// Begins a request, which ends when the returned handle is dropped.
    pub fn begin_request(&self) -> PeerRequest {
        self.with(PeerTable::begin_request);
        PeerRequest {
            connection: self.clone(),
            held_bytes: 0,
            has_reply: false,
        }
    }

    pub(crate) fn intake(&self) -> &PeerIntake {
        &self.open.intake
    }

    pub(crate) fn key(&self) -> PeerKey {
        self.open.key
    }

    fn with<R>(&self, apply: impl FnOnce(&mut PeerTable, PeerKey, u64) -> R) -> R {
        self.open
            .intake
            .with(|table, now_ms| apply(table, self.open.key, now_ms))
    }

    pub(crate) fn closing(&self) -> Option<Cause> {
        self.with(|table, key, _| table.closing(key))
    }
}

/// Open request on a connection of another instance, with the bytes that it holds.
#[derive(Debug)]
pub struct PeerRequest {
    connection: PeerConnection,
    held_bytes: u64,
    has_reply: bool,
}

impl PeerRequest {
    /// Charges bytes of the request or of its reply.
    pub fn hold(&mut self, bytes: u64) {
        self.held_bytes += bytes;
        self.connection.with(|table, key, _| table.hold(key, bytes));
    }

    /// Returns the budget of all connections together.
    pub fn budget_bytes(&self) -> u64 {
        self.connection.with(|table, _, _| table.limits().budget_bytes)
    }

    /// Returns whether its connection has to be closed.
    pub fn is_closing(&self) -> bool {
        self.connection.closing().is_some()
    }

    /// Returns whether all connections together hold more than the budget.
    pub fn is_over_budget(&self) -> bool {
        self.connection.with(|table, _, _| table.is_over_budget())
    }

    /// Returns all bytes of the request.
    pub fn release(&mut self) {
        let bytes = std::mem::take(&mut self.held_bytes);
        self.connection.with(|table, key, _| table.release(key, bytes));
    }

    /// Charges a reply that waits for its reader.
    pub fn begin_reply(&mut self, bytes: u64) {
        self.has_reply = true;
        self.connection.with(PeerTable::begin_reply);
        self.hold(bytes);
    }

    /// Returns the bytes of a part of the reply that was read.
    pub fn read_reply(&mut self, bytes: u64) {
        self.held_bytes -= bytes;
        self.connection.with(|table, key, now_ms| {
            table.release(key, bytes);
            table.read_reply(key, now_ms);
        });
    }
}

impl Drop for PeerRequest {
    fn drop(&mut self) {
        self.release();
        self.connection.with(|table, key, now_ms| {
            if self.has_reply {
                table.end_reply(key);
            }
            table.end_request(key, now_ms);
        });
    }
}
