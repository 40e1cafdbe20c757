use serde::{Deserialize, Serialize};

/// Topology constraint on where the parts of a job may be placed relative to each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All parts on one worker.
    Worker,
    /// All parts in one rack.
    Rack,
    /// All parts in one data centre.
    #[default]
    DataCentre,
}
