use std::collections::BTreeMap;

/// Size of a deployment and the settings that differ from their defaults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// Data centres, named `dc1`, `dc2` and so on.
    pub data_centres: usize,
    /// Entry instances in each data centre.
    pub entries_per_data_centre: usize,
    /// Workers in all data centres.
    pub workers: usize,
    /// Workers in a rack.
    pub workers_per_rack: usize,
    /// Slots and accelerators of a worker.
    pub slots: u16,
    /// Settings of the entry instances that differ from the defaults.
    pub settings: BTreeMap<String, u64>,
    /// Sheet that is applied once the instances are ready; none leaves the deployment without configuration.
    pub sheet: Option<String>,
}

impl Layout {
    /// Creates the layout of today's deployments: 50 workers, six entry instances, three data centres.
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

    /// Sets a setting of all entry instances.
    #[must_use]
    pub fn setting(mut self, key: &str, value: u64) -> Self {
        self.settings.insert(key.to_owned(), value);
        self
    }

    /// Sets the sheet.
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
