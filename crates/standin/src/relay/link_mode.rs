use serde::{Deserialize, Serialize};

/// What a link does with its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkMode {
    /// Passes bytes on. Connections that were silenced before stay silent, as bytes are missing from them.
    #[default]
    Open,
    /// Closes all connections and refuses new ones.
    Cut,
    /// Silences the connections that are open now; new ones work.
    SilenceExisting,
    /// Silences the connections that are open now and all new ones: bytes are accepted and not delivered.
    SilenceAll,
}
