use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use shares::{Amounts, Entry};

use crate::Resources;

/// What an organisation has running, and its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationShare {
    /// Name; empty for jobs of public queues.
    pub name: CompactString,
    /// What it has running, starts that are decided included.
    pub usage: Resources,
    /// Maximum that it may have running; an amount of 0 means no limit.
    pub maximum: Resources,
    /// Weight of its share.
    pub weight: u64,
    /// Largest ratio of its usage to the capacity of all workers, divided by the weight, in thousandths.
    pub dominant_share_permille: u64,
}

impl OrganisationShare {
    /// Creates the share of an organisation in a capacity.
    pub(crate) fn new(name: &str, entry: &Entry, capacity: &Amounts) -> Self {
        Self {
            name: name.into(),
            usage: entry.usage.into(),
            maximum: entry.maximum.into(),
            weight: entry.weight.max(1),
            dominant_share_permille: (entry.dominant_share(capacity) * 1_000.0).round() as u64,
        }
    }
}
