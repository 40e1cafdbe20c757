use model::WorkerId;
use serde::{Deserialize, Serialize};

use crate::UsageEntry;

/// Page of usage entries that the reader has not acknowledged yet, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsagePage {
    /// Worker.
    pub worker: WorkerId,
    /// Entries; at most [`UsagePage::MAX_ENTRIES`].
    pub entries: Vec<UsageEntry>,
}

impl UsagePage {
    /// Maximum number of entries in one page.
    pub const MAX_ENTRIES: usize = 500;
}
