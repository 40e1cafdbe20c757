use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::Instant;

use crate::closed_log::ClosedLog;
use crate::{Cause, Connection, ConnectionTable, Limits};

/// Limits shared by all listeners of a process. It belongs to one thread.
#[derive(Debug, Clone)]
pub struct Intake {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    table: RefCell<ConnectionTable>,
    configured: Limits,
    origin: Instant,
    log: RefCell<ClosedLog>,
}

impl Intake {
    /// Creates the limits of a process.
    pub fn new(limits: Limits) -> Self {
        Self {
            shared: Rc::new(Shared {
                table: RefCell::new(ConnectionTable::new(limits)),
                configured: limits,
                origin: Instant::now(),
                log: RefCell::default(),
            }),
        }
    }

    /// Returns the limits from the settings of the instance.
    pub fn settings(&self) -> Limits {
        self.shared.configured
    }

    /// Replaces the limits in force.
    pub fn set_limits(&self, limits: Limits) {
        self.with(|table, _| table.set_limits(limits));
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> Limits {
        self.with(|table, _| *table.limits())
    }

    /// Adds an accepted connection; `None` if it has to be closed at once.
    pub fn accept(&self) -> Option<Connection> {
        let accepted = self.with(ConnectionTable::accept);
        self.log_closed();
        accepted.ok().map(|key| Connection::new(self.clone(), key))
    }

    /// Returns whether the next connection has to wait until one that is closing has gone.
    pub fn is_full(&self) -> bool {
        self.with(|table, _| table.is_full())
    }

    /// Waits while more is held than the budget because connections that are closing have not released their bytes.
    pub async fn cleared(&self) {
        while self.with(|table, _| table.is_clearing()) {
            yield_now().await;
        }
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.with(|table, _| table.connections())
    }

    /// Closes all connections without a request.
    pub fn close_idle(&self) {
        self.with(|table, _| table.close_idle());
    }

    /// Returns counters and gauges for the metrics, by name.
    pub fn figures(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let table = self.shared.table.borrow();
        let gauges = [
            ("connections", table.connections() as u64),
            ("held_bytes", table.held_bytes()),
            ("budget_bytes", table.limits().budget_bytes),
            ("max_connections", table.limits().max_connections as u64),
        ];
        let closed = Cause::ALL.map(|cause| (cause.name(), table.closed(cause)));
        gauges.into_iter().chain(closed)
    }

    pub(crate) fn with<R>(&self, apply: impl FnOnce(&mut ConnectionTable, u64) -> R) -> R {
        let now_ms = self.shared.origin.elapsed().as_millis() as u64;
        apply(&mut self.shared.table.borrow_mut(), now_ms)
    }

    pub(crate) fn instant(&self, at_ms: u64) -> Instant {
        self.shared.origin + Duration::from_millis(at_ms)
    }

    /// Logs closed connections.
    pub(crate) fn log_closed(&self) {
        self.with(|table, now_ms| {
            let held = (table.connections(), table.held_bytes());
            let mut log = self.shared.log.borrow_mut();
            log.update(now_ms, "callers", held, |cause| table.closed(cause));
        });
    }
}
