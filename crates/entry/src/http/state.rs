use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use actix::Addr;
use intake::PeerIntake;

use crate::config::ConfigActor;
use crate::context::Context;
use crate::jobs::JobActor;

/// State shared by the handlers of the HTTP interface, on any thread.
#[derive(Debug, Clone)]
pub(crate) struct ApiState {
    pub(crate) context: Context,
    pub(crate) config: Addr<ConfigActor>,
    pub(crate) job_actor: Addr<JobActor>,
    pub(crate) open: Arc<OpenRequests>,
    /// Connections of other instances.
    pub(crate) peers: PeerIntake,
}

/// Number of open requests, with its limit.
#[derive(Debug)]
pub(crate) struct OpenRequests {
    open: AtomicU64,
    limit: u64,
}

impl OpenRequests {
    pub(crate) const fn new(limit: u64) -> Self {
        Self {
            open: AtomicU64::new(0),
            limit,
        }
    }

    /// Counts a request as open and returns `true`, unless the limit is reached.
    pub(super) fn try_acquire(&self) -> bool {
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        if before >= self.limit {
            self.release();
            return false;
        }
        true
    }

    pub(super) fn release(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) const fn limit(&self) -> u64 {
        self.limit
    }

    pub(crate) fn count(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }
}
