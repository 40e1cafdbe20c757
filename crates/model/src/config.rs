use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ConfigVersion, DataCentreId, DataCentreStatus, Organisation, OrganisationId, Priority, Shape};

/// Configuration that operators apply: organisations, guarantees, data centres and current priority boosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version; assigned when the configuration is accepted.
    #[serde(default)]
    pub version: ConfigVersion,
    /// Organisations, sorted by id.
    pub organisations: Vec<Organisation>,
    /// Data centres, sorted by id.
    pub data_centres: Vec<DataCentreStatus>,
    /// Priority boosts currently in force.
    #[serde(default)]
    pub priorities: Vec<Priority>,
}

impl Config {
    /// Key of the row in the platform's table.
    pub const KEY: &'static str = "config/current";

    /// Returns the organisation with this id.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&Organisation> {
        self.organisations.iter().find(|organisation| organisation.id == *id)
    }

    /// Returns whether the data centre is listed and in service.
    pub fn is_in_service(&self, id: &DataCentreId) -> bool {
        self.data_centres.iter().any(|dc| dc.id == *id && dc.in_service)
    }

    /// Checks that ids are unique, weights positive, shapes in range and references known.
    ///
    /// Whether the guarantees fit into the topology is checked separately, by the guarantee plan.
    ///
    /// # Errors
    ///
    /// Returns the first [`ConfigError`] found.
    pub fn validate(&self) -> Result<(), ConfigError> {
        for (index, organisation) in self.organisations.iter().enumerate() {
            let id = &organisation.id;
            if self.organisations[..index].iter().any(|other| other.id == *id) {
                return Err(ConfigError::DuplicateOrganisation {
                    organisation: id.clone(),
                });
            }
            if organisation.weight == 0 {
                return Err(ConfigError::ZeroWeight {
                    organisation: id.clone(),
                });
            }
            for guarantee in &organisation.guarantees {
                if guarantee.shape.validate().is_err() || guarantee.count == 0 {
                    return Err(ConfigError::InvalidGuarantee {
                        organisation: id.clone(),
                        shape: guarantee.shape,
                    });
                }
                if let Some(dc) = &guarantee.data_centre
                    && !self.data_centres.iter().any(|known| known.id == *dc)
                {
                    return Err(ConfigError::UnknownDataCentre {
                        data_centre: dc.clone(),
                    });
                }
            }
        }
        for (index, dc) in self.data_centres.iter().enumerate() {
            if self.data_centres[..index].iter().any(|other| other.id == dc.id) {
                return Err(ConfigError::DuplicateDataCentre {
                    data_centre: dc.id.clone(),
                });
            }
        }
        for priority in &self.priorities {
            if self.organisation(&priority.organisation).is_none() {
                return Err(ConfigError::UnknownOrganisation {
                    organisation: priority.organisation.clone(),
                });
            }
        }
        Ok(())
    }
}

/// Error for a configuration that is inconsistent or has a value out of range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// An organisation is listed twice.
    #[error("organisation {organisation} is listed twice")]
    DuplicateOrganisation {
        /// Organisation.
        organisation: OrganisationId,
    },
    /// A weight is 0.
    #[error("organisation {organisation} has weight 0; the least is 1")]
    ZeroWeight {
        /// Organisation.
        organisation: OrganisationId,
    },
    /// A guarantee has a count of 0 or a shape out of range.
    #[error("organisation {organisation} has a guarantee out of range: {shape:?}")]
    InvalidGuarantee {
        /// Organisation.
        organisation: OrganisationId,
        /// Guaranteed shape.
        shape: Shape,
    },
    /// A data centre is listed twice.
    #[error("data centre {data_centre} is listed twice")]
    DuplicateDataCentre {
        /// Data centre.
        data_centre: DataCentreId,
    },
    /// A guarantee names a data centre that is not listed.
    #[error("data centre {data_centre} is not listed")]
    UnknownDataCentre {
        /// Data centre.
        data_centre: DataCentreId,
    },
    /// A priority names an organisation that is not listed.
    #[error("organisation {organisation} is not listed")]
    UnknownOrganisation {
        /// Organisation.
        organisation: OrganisationId,
    },
}
