use std::collections::BTreeMap;

use serde_json::Value;

/// Size and settings of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// Number of data centres, named `dc1`, `dc2` and so on.
    pub data_centres: usize,
    /// Entry instances in each data centre.
    pub entries_per_data_centre: usize,
    /// Number of workers in all data centres.
    pub workers: usize,
    /// Workers in a rack.
    pub workers_per_rack: usize,
    /// Slots and accelerators of a worker.
    pub slots: u16,
    /// Settings of the entry instances that differ from the defaults.
    pub settings: BTreeMap<String, Value>,
    /// Configuration sheet that is applied at start; without it the deployment has no configuration.
    pub sheet: Option<String>,
}

impl Layout {
    /// Creates the layout of current deployments: 50 workers, six entry instances, three data centres.
    pub fn new() -> Self {
        Self {
            data_centres: 3,
            entries_per_data_centre: 2,
            workers: 50,
            workers_per_rack: 8,
            slots: 8,
            settings: BTreeMap::new(),
            sheet: None,
        }
    }

    /// Sets the number of workers.
    #[must_use]
    pub const fn workers(mut self, workers: usize) -> Self {
        self.workers = workers;
        self
    }

    /// Overrides a setting of all entry instances.
    #[must_use]
    pub fn setting(mut self, key: &str, value: impl Into<Value>) -> Self {
        self.settings.insert(key.to_owned(), value.into());
        self
    }

    /// Sets the configuration sheet.
    #[must_use]
    pub fn sheet(mut self, sheet: impl Into<String>) -> Self {
        self.sheet = Some(sheet.into());
        self
    }

    /// Returns the names of the data centres.
    pub fn data_centre_names(&self) -> Vec<String> {
        (1..=self.data_centres).map(|number| format!("dc{number}")).collect()
    }
}

impl Default for Layout {
    fn default() -> Self {
        Self::new()
    }
}
