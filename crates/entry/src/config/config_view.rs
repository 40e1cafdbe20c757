use std::collections::BTreeMap;
use std::sync::Arc;

use model::{Config, ConfigVersion, DataCentreId, InstanceId};

/// Configuration in force at this instance, with its overlays.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct ConfigView {
    /// Configuration as recorded in the table; `None` until one is known.
    pub(crate) recorded: Option<Arc<Config>>,
    /// Recorded configuration with the overlays applied; schedulers and requests use this one.
    pub(crate) effective: Option<Arc<Config>>,
    /// Whether operators took this data centre out through this instance while the store was unreachable.
    pub(crate) local_out: bool,
    /// Peer of this data centre that announces a local out.
    pub(crate) local_out_by: Option<InstanceId>,
    /// Whether neither the store nor another data centre was reachable for longer than the settings allow.
    pub(crate) cut_off: bool,
    /// Version with which each data centre went out of service.
    pub(crate) out_since: BTreeMap<DataCentreId, ConfigVersion>,
}

impl ConfigView {
    pub(crate) fn version(&self) -> ConfigVersion {
        self.recorded
            .as_ref()
            .map_or_else(ConfigVersion::default, |config| config.version)
    }

    /// Puts a configuration in force if its version is higher, and returns whether it did.
    pub(crate) fn apply(&mut self, config: Config, own: &DataCentreId) -> bool {
        if self.recorded.is_some() && config.version <= self.version() {
            return false;
        }
        self.out_since.retain(|dc, _| !config.is_in_service(dc));
        for dc in config.data_centres.iter().filter(|dc| !dc.in_service) {
            self.out_since.entry(dc.id.clone()).or_insert(config.version);
        }
        self.recorded = Some(Arc::new(config));
        self.apply_overlays(own);
        true
    }

    /// Recomputes the effective configuration after a change of an overlay.
    pub(crate) fn apply_overlays(&mut self, own: &DataCentreId) {
        let is_out = self.local_out || self.local_out_by.is_some() || self.cut_off;
        self.effective = self.recorded.as_ref().map(|recorded| {
            if !is_out || !recorded.is_in_service(own) {
                return recorded.clone();
            }
            let mut config = Config::clone(recorded);
            for dc in config.data_centres.iter_mut().filter(|dc| dc.id == *own) {
                dc.in_service = false;
            }
            Arc::new(config)
        });
    }

    /// Returns whether work may start in the data centre.
    pub(crate) fn is_in_service(&self, data_centre: &DataCentreId) -> bool {
        self.effective
            .as_ref()
            .is_some_and(|config| config.is_in_service(data_centre))
    }
}
