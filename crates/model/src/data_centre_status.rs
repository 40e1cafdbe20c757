use serde::{Deserialize, Serialize};

use crate::DataCentreId;

/// Service status of a data centre, set by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreStatus {
    /// Data centre.
    pub id: DataCentreId,
    /// Whether work may be started there.
    pub in_service: bool,
}
