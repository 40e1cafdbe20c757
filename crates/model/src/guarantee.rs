use serde::{Deserialize, Serialize};

use crate::{DataCentreId, Shape};

/// Shape whose capacity an organisation can reclaim at any time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Guaranteed shape.
    pub shape: Shape,
    /// Number of times the shape is guaranteed.
    pub count: u16,
    /// Data centre that must provide it; `None` lets the guarantee plan choose one.
    #[serde(default)]
    pub data_centre: Option<DataCentreId>,
}
