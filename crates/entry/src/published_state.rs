use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use model::{DataCentreId, Epoch, InstanceId};
use store::Listing;
use tokio::sync::watch;

use crate::config::ConfigView;
use crate::members::MemberView;

/// State that the actors of the process publish to each other. Each channel has one writing actor and any number of
/// readers.
#[derive(Debug)]
pub(crate) struct PublishedState {
    /// Configuration in force; written by the configuration actor.
    pub(crate) config: watch::Sender<Arc<ConfigView>>,
    /// Peers; written by the membership actor.
    pub(crate) members: watch::Sender<Arc<MemberView>>,
    /// The platform's list of instances and workers as last read; written by the membership actor.
    pub(crate) listing: watch::Sender<Arc<Listing>>,
    /// Holders of the scheduling leases; written by the elector of each data centre.
    pub(crate) holders: watch::Sender<HashMap<DataCentreId, LeaseHolder>>,
    /// Free accelerators of data centres that this instance schedules; written by their drivers.
    pub(crate) free_accelerators: watch::Sender<HashMap<DataCentreId, u32>>,
    /// Numbers of granted slots and of those in use; written by the handling of urgent jobs.
    pub(crate) granted_slots: watch::Sender<(u32, u32)>,
    store_reachable: AtomicBool,
    stopping: AtomicBool,
    stopped: AtomicBool,
}

/// Holder of a scheduling lease, as last read from the table or known from the election.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LeaseHolder {
    pub(crate) instance: InstanceId,
    pub(crate) epoch: Epoch,
}

impl PublishedState {
    pub(crate) fn new() -> Self {
        Self {
            config: watch::Sender::default(),
            members: watch::Sender::default(),
            listing: watch::Sender::default(),
            holders: watch::Sender::default(),
            free_accelerators: watch::Sender::default(),
            granted_slots: watch::Sender::default(),
            store_reachable: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        }
    }

    pub(crate) fn config(&self) -> Arc<ConfigView> {
        self.config.borrow().clone()
    }

    pub(crate) fn members(&self) -> Arc<MemberView> {
        self.members.borrow().clone()
    }

    pub(crate) fn listing(&self) -> Arc<Listing> {
        self.listing.borrow().clone()
    }

    pub(crate) fn holder(&self, data_centre: &DataCentreId) -> Option<LeaseHolder> {
        self.holders.borrow().get(data_centre).cloned()
    }

    pub(crate) fn is_store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::Relaxed)
    }

    /// Records whether the store answers and returns whether this changed.
    pub(crate) fn set_store_reachable(&self, reachable: bool) -> bool {
        self.store_reachable.swap(reachable, Ordering::Relaxed) != reachable
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether the planned stop is complete; each actor then stops at its next tick.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    pub(crate) fn set_stopped(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}
