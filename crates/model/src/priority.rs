use serde::{Deserialize, Serialize};

use crate::{Class, OrganisationId};

/// Current priority boost for one organisation and class; added to the priority of its jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Organisation whose jobs are boosted.
    pub organisation: OrganisationId,
    /// Class whose jobs are boosted.
    pub class: Class,
    /// Amount added to the priority.
    pub boost: u8,
}
