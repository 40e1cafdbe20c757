use std::cell::RefCell;
use std::sync::Arc;

use model::{Config, Topology};
use store::Listing;

use crate::scheduling::{PlanHomes, topology_of};

/// Cache of the topology and of the data centres that provide the organisations' guarantees, for the last
/// configuration and list.
#[derive(Debug, Default)]
pub(super) struct HomesCache {
    entry: RefCell<Option<Entry>>,
}

#[derive(Debug)]
struct Entry {
    config: Arc<Config>,
    listing: Arc<Listing>,
    topology: Arc<Topology>,
    homes: Option<Arc<PlanHomes>>,
}

impl HomesCache {
    pub(super) fn topology(&self, config: &Arc<Config>, listing: &Arc<Listing>) -> Arc<Topology> {
        let mut entry = self.entry.borrow_mut();
        Self::current(&mut entry, config, listing).topology.clone()
    }

    /// Returns the data centres that provide the guaranteed shapes.
    pub(super) fn homes(&self, config: &Arc<Config>, listing: &Arc<Listing>) -> Arc<PlanHomes> {
        let mut entry = self.entry.borrow_mut();
        let entry = Self::current(&mut entry, config, listing);
        let topology = entry.topology.clone();
        let compute = || Arc::new(PlanHomes::compute(&topology, config));
        entry.homes.get_or_insert_with(compute).clone()
    }

    fn current<'a>(entry: &'a mut Option<Entry>, config: &Arc<Config>, listing: &Arc<Listing>) -> &'a mut Entry {
        let is_current = entry
            .as_ref()
            .is_some_and(|entry| Arc::ptr_eq(&entry.config, config) && Arc::ptr_eq(&entry.listing, listing));
        if !is_current {
            *entry = None;
        }
        entry.get_or_insert_with(|| Entry {
            config: config.clone(),
            listing: listing.clone(),
            topology: Arc::new(topology_of(listing)),
            homes: None,
        })
    }
}
