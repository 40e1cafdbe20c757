use serde::{Deserialize, Serialize};

/// What a scheduler knows of the speeds of its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SpeedState {
    /// Too few workers were observed, as after a takeover without stored speeds; placement ignores speed.
    Unknown,
    /// The workers hardly differ; placement ignores speed.
    Even,
    /// The workers differ, and placement takes account of it.
    Uneven,
}
