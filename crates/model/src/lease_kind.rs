use serde::{Deserialize, Serialize};

/// Purpose of a slot lease, which determines what happens to it when the worker is fenced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseKind {
    /// Used by a scheduler for one attempt. Fencing revokes it if no task was started under it.
    #[default]
    Attempt,
    /// Delegated to an entry instance for urgent work. Fencing does not affect it.
    Grant,
}
