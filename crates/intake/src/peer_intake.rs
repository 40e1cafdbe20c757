use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::{Cause, PeerConnection, PeerLimits, PeerTable};

/// Limits on the connections of other instances, shared among threads.
#[derive(Debug, Clone)]
pub struct PeerIntake {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    table: Mutex<PeerTable>,
    origin: Instant,
}

impl PeerIntake {
    /// Creates the limits of a listener.
    pub fn new(limits: PeerLimits) -> Self {
        Self {
            shared: Arc::new(Shared {
                table: Mutex::new(PeerTable::new(limits)),
                origin: Instant::now(),
            }),
        }
    }

    /// Adds an accepted connection.
    pub fn accept(&self) -> PeerConnection {
        let key = self.with(PeerTable::accept);
        PeerConnection::new(self.clone(), key)
    }

    /// Returns whether the next connection has to wait until one that is closing has gone.
    pub fn is_full(&self) -> bool {
        self.with(|table, _| table.is_full())
    }

    /// Returns counters and gauges for the metrics, by name.
    pub fn figures(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.with(|table, _| {
            let gauges = [
                ("connections", table.connections() as u64),
                ("held_bytes", table.held_bytes()),
                ("budget_bytes", table.limits().budget_bytes),
                ("max_connections", table.limits().max_connections as u64),
            ];
            let closed = Cause::ALL.map(|cause| (cause.name(), table.closed(cause)));
            gauges.into_iter().chain(closed)
        })
    }

    pub(crate) fn with<R>(&self, apply: impl FnOnce(&mut PeerTable, u64) -> R) -> R {
        let now_ms = self.shared.origin.elapsed().as_millis() as u64;
        // The table has no state between two calls that a panic could leave half changed.
        let mut table = self.shared.table.lock().unwrap_or_else(PoisonError::into_inner);
        apply(&mut table, now_ms)
    }

    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.shared.origin + Duration::from_millis(at_ms)
    }
}
