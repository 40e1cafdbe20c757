use serde::{Deserialize, Serialize};

use crate::DataCentreId;

/// Whether operators have a data centre in service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreStatus {
    /// Data centre.
    pub id: DataCentreId,
    /// Whether work may start there.
    pub in_service: bool,
}
