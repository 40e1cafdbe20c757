use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::closed_log::ClosedLog;
use crate::{Cause, PeerConnection, PeerLimits, PeerTable};

/// Limits on the connections of other instances, shared among threads.
#[derive(Debug, Clone)]
pub struct PeerIntake {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    origin: Instant,
}

#[derive(Debug)]
struct State {
    table: PeerTable,
    log: ClosedLog,
}

impl PeerIntake {
    /// Creates the limits of a listener.
    pub fn new(limits: PeerLimits) -> Self {
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(State {
                    table: PeerTable::new(limits),
                    log: ClosedLog::default(),
                }),
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
        // Each call leaves the table complete, so that a panic elsewhere does not spoil it.
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        let State { table, log } = &mut *state;
        let closed = table.closed_in_all();
        let result = apply(table, now_ms);
        if table.closed_in_all() > closed {
            let held = (table.connections(), table.held_bytes());
            log.update(now_ms, "peers", held, |cause| table.closed(cause));
        }
        result
    }

    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.shared.origin + Duration::from_millis(at_ms)
    }
}
