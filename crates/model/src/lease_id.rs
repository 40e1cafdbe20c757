use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Epoch, InvalidId};

/// Identity of a slot lease at a worker. Written `epoch.sequence`.
///
/// The scheduler chooses the id before it calls the worker, so that the attempt record can contain it. Each epoch
/// belongs to one lease holder, so ids are unique within a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseId {
    /// Epoch of the scheduler that chose the id.
    pub epoch: Epoch,
    /// Sequence number of the lease within the epoch.
    pub sequence: u64,
}

impl LeaseId {
    /// Creates the id from its components.
    pub const fn new(epoch: Epoch, sequence: u64) -> Self {
        Self { epoch, sequence }
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.sequence)
    }
}

impl FromStr for LeaseId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let invalid = || InvalidId::new("lease id", text);
        let (epoch, sequence) = text.split_once('.').ok_or_else(invalid)?;
        Ok(Self {
            epoch: Epoch(epoch.parse().map_err(|_| invalid())?),
            sequence: sequence.parse().map_err(|_| invalid())?,
        })
    }
}

impl TryFrom<String> for LeaseId {
    type Error = InvalidId;

    fn try_from(text: String) -> Result<Self, InvalidId> {
        text.parse()
    }
}

impl From<LeaseId> for String {
    fn from(id: LeaseId) -> Self {
        id.to_string()
    }
}
