use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, PoisonError, RwLock};

use actix::Addr;
use model::DataCentreId;

use super::Driver;

/// Addresses of the drivers of this process, one for each data centre that the platform lists.
#[derive(Clone, Default)]
pub(crate) struct Drivers {
    by_data_centre: Arc<RwLock<BTreeMap<DataCentreId, Addr<Driver>>>>,
}

impl Drivers {
    pub(crate) fn insert(&self, data_centre: DataCentreId, driver: Addr<Driver>) {
        let mut drivers = self.by_data_centre.write().unwrap_or_else(PoisonError::into_inner);
        drivers.insert(data_centre, driver);
    }

    pub(crate) fn get(&self, data_centre: &DataCentreId) -> Option<Addr<Driver>> {
        let drivers = self.by_data_centre.read().unwrap_or_else(PoisonError::into_inner);
        drivers.get(data_centre).cloned()
    }

    pub(crate) fn all(&self) -> Vec<Addr<Driver>> {
        let drivers = self.by_data_centre.read().unwrap_or_else(PoisonError::into_inner);
        drivers.values().cloned().collect()
    }
}

impl fmt::Debug for Drivers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Drivers").finish_non_exhaustive()
    }
}
