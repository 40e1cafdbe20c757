use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use compact_str::CompactString;
use domain::{Config, Wave};

/// What an instance knows of the operators' wishes and of the scheduling lease.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Newest configuration; versions never go down.
    pub config: Option<Rc<Config>>,
    /// Version of its row.
    pub config_row_version: u64,
    /// Own time at which this was surely the newest configuration.
    pub config_checked_ms: u64,
    /// Data centres that are out of service.
    pub out_of_service: HashSet<CompactString>,
    /// Waves of upkeep that operators ask for, by number.
    pub waves: BTreeMap<u64, Wave>,
    /// Changes with each change of the waves.
    pub waves_revision: u64,
    /// Epoch of the scheduling lease; 0 before the first.
    pub epoch: u64,
    /// Instance that holds the lease; empty before the first.
    pub holder: CompactString,
    /// Version of the epoch's row; 0 before the first.
    pub epoch_row_version: u64,
    /// Own time of the newest reply of the store.
    pub store_heard_ms: u64,
    /// Own time of the first failure since the newest reply.
    pub store_failing_ms: Option<u64>,
    /// The instance is being stopped.
    pub is_stopping: bool,
}

impl View {
    /// Takes a configuration if it is newer than the one in force. Returns whether it was taken.
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
