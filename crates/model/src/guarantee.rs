use serde::{Deserialize, Serialize};

use crate::{DataCentreId, Shape};

/// Shape that an organisation can always get back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Guaranteed shape.
    pub shape: Shape,
    /// How many times the shape is guaranteed.
    pub count: u16,
    /// Data centre that must provide it; `None` leaves the choice to the plan.
    #[serde(default)]
    pub data_centre: Option<DataCentreId>,
}
