use serde::{Deserialize, Serialize};

use crate::LinkMode;

/// Request `POST /v1/links` to the relay: sets the mode of links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkModeRequest {
    /// Names of the links; none means all.
    #[serde(default)]
    pub links: Vec<String>,
    /// Mode.
    pub mode: LinkMode,
}
