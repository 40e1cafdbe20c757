use serde::{Deserialize, Serialize};

/// Who uses a slot lease, which decides how a fence treats it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseKind {
    /// Used by a scheduler for one attempt. A fence revokes it if no task was started under it.
    #[default]
    Attempt,
    /// Delegated to an entry instance for urgent work. Stays live over a fence.
    Grant,
}
