use serde::{Deserialize, Serialize};

use crate::{Guarantee, OrganisationId};

/// Customer with its fair-share weight, limits and guarantees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub id: OrganisationId,
    /// Fair-share weight for capacity beyond the guarantees; at least 1.
    pub weight: u32,
    /// Maximum number of accelerators in use at once; `None` means no quota.
    #[serde(default)]
    pub quota_accelerators: Option<u32>,
    /// Maximum number of queued jobs for each class.
    pub queue_limit: u32,
    /// Guaranteed shapes.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
}

impl Organisation {
    /// Creates an organisation with weight 1, no guarantee and a queue limit of 10,000 jobs for each class.
    pub const fn new(id: OrganisationId) -> Self {
        Self {
            id,
            weight: 1,
            quota_accelerators: None,
            queue_limit: 10_000,
            guarantees: Vec::new(),
        }
    }

    /// Sets the weight.
    #[must_use]
    pub const fn weight(mut self, weight: u32) -> Self {
        self.weight = weight;
        self
    }

    /// Adds a guarantee.
    #[must_use]
    pub fn guarantee(mut self, guarantee: Guarantee) -> Self {
        self.guarantees.push(guarantee);
        self
    }
}
