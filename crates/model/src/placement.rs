use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{LeaseId, WorkerId};

/// Where each part of a job runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Placement {
    /// One entry a part, in order of the part index.
    pub parts: SmallVec<[PartPlacement; 4]>,
}

/// Where one part runs and under which slot lease.
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
