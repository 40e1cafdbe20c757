use serde::{Deserialize, Serialize};

/// How close together the parts of a job must be placed.
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
