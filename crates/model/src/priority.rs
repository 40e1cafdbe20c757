use serde::{Deserialize, Serialize};

use crate::{Class, OrganisationId};

/// Priority of the day for one organisation and class; added to the priority of its jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Organisation whose jobs are raised.
    pub organisation: OrganisationId,
    /// Class whose jobs are raised.
    pub class: Class,
    /// Amount that is added.
    pub boost: u8,
}
