use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use actix::Addr;

use crate::config::ConfigActor;
use crate::context::Context;
use crate::jobs::JobActor;

/// What the handlers of the HTTP interface use; any thread may hold it.
#[derive(Debug, Clone)]
pub(crate) struct ApiState {
    pub(crate) context: Context,
    pub(crate) config: Addr<ConfigActor>,
    pub(crate) job_actor: Addr<JobActor>,
    pub(crate) open: Arc<OpenRequests>,
}

/// Number of requests that are open now, against a limit.
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

    /// Counts a request in, unless too many are open.
    pub(super) fn enter(&self) -> bool {
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        if before >= self.limit {
            self.leave();
            return false;
        }
        true
    }

    pub(super) fn leave(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) const fn limit(&self) -> u64 {
        self.limit
    }

    pub(crate) fn count(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }
}
