use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{LeaseId, WorkerId};

/// Placement of all parts of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Placement {
    /// One entry for each part, ordered by part index.
    pub parts: SmallVec<[PartPlacement; 4]>,
}

/// Worker and slot lease of one part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartPlacement {
    /// Worker that runs the part.
    pub worker: WorkerId,
    /// Slot lease at the worker. Parts of one attempt on the same worker share a lease.
    pub lease: LeaseId,
}

impl FromIterator<PartPlacement> for Placement {
    fn from_iter<I: IntoIterator<Item = PartPlacement>>(parts: I) -> Self {
        Self {
            parts: parts.into_iter().collect(),
        }
    }
}
