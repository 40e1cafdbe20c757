use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use compact_str::CompactString;
use domain::{Config, Wave};

/// Local state of an instance: the operators' settings, the scheduling lease and the health of the store.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Newest known configuration; its version never decreases.
    pub config: Option<Rc<Config>>,
    /// Version of the configuration's row.
    pub config_row_version: u64,
    /// Local time at which this configuration was last confirmed to be the newest.
    pub config_confirmed_ms: u64,
    /// Data centres that are out of service.
    pub out_of_service: HashSet<CompactString>,
    /// Maintenance waves requested by operators, by number.
    pub waves: BTreeMap<u64, Wave>,
    /// Incremented with each change of the waves.
    pub waves_revision: u64,
    /// Epoch of the scheduling lease; 0 before the first epoch.
    pub epoch: u64,
    /// Instance that holds the lease; empty before the first epoch.
    pub holder: CompactString,
    /// Version of the epoch's row; 0 before the first epoch.
    pub epoch_row_version: u64,
    /// Local time of the last reply of the store.
    pub store_last_reply_ms: u64,
    /// Local time of the first failure since the last reply.
    pub store_failing_since_ms: Option<u64>,
    /// The instance is being stopped.
    pub is_stopping: bool,
}

impl View {
    /// Applies a configuration if it is newer than the one in force; returns whether it was applied.
    pub fn set_config(&mut self, config: Config, row_version: u64) -> bool {
        let is_newer = self
            .config
            .as_ref()
            .is_none_or(|known| config.version > known.version || row_version > self.config_row_version);
        if !is_newer || self.config.as_ref().is_some_and(|known| config.version < known.version) {
            return false;
        }
        self.config = Some(Rc::new(config));
        self.config_row_version = row_version;
        true
    }
}
