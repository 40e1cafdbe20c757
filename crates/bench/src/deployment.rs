use std::str::FromStr;

use model::{Adjacency, Config, DataCentreStatus, Guarantee, Organisation, Resources, Shape, Topology};
use thiserror::Error;

use crate::Workload;

/// Deployment that a measurement models.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Deployment {
    /// Lochside Koi Valuers Consortium: 50 workers, quick quotes beside appraisals.
    Lochside,
    /// Lanka Toy Library Commission: 50 workers, many small checks beside long refreshes.
    Lanka,
    /// Design scale: 960 workers, 34 organisations, 20,000 running tasks.
    Letter,
}

/// Error for an unknown deployment name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("deployment {name} is not known; known are lochside, lanka and letter")]
pub struct UnknownDeployment {
    /// Unknown name.
    pub name: String,
}

impl Deployment {
    /// Returns the name used on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Lochside => "lochside",
            Self::Lanka => "lanka",
            Self::Letter => "letter",
        }
    }

    /// Returns the workers in their racks and data centres.
    pub fn topology(self) -> Topology {
        match self {
            Self::Lochside | Self::Lanka => Topology::uniform(3, 50, 8, Resources::new(8, 8, 32_000, 64 * 1024)),
            Self::Letter => Topology::uniform(4, 960, 8, Resources::new(24, 24, 96_000, 192 * 1024)),
        }
    }

    /// Returns the parameters of the arrivals.
    pub fn workload(self) -> Workload {
        Workload::of(self)
    }

    /// Returns the share of traffic of each organisation; those with 0 submit only within their guarantee.
    pub fn traffic(self) -> Vec<f64> {
        match self {
            Self::Lochside => vec![0.7, 0.3, 0.0, 0.0],
            Self::Lanka => vec![0.55, 0.35, 0.1, 0.0],
            Self::Letter => {
                let weights = (0..34).map(|rank| if rank < 26 { 1.0 / f64::from(rank + 1) } else { 0.0 });
                let sum: f64 = weights.clone().sum();
                weights.map(|weight| weight / sum).collect()
            }
        }
    }

    /// Returns the configuration with every data centre in service.
    ///
    /// # Panics
    ///
    /// Never panics in practice: the generated names are valid ids.
    pub fn config(self) -> Config {
        let traffic = self.traffic();
        let organisations = traffic.iter().enumerate().map(|(index, share)| {
            let id = format!("org-{:02}", index + 1);
            let mut organisation = Organisation::new(id.parse().expect("generated names are valid"));
            organisation.weight = 1 + (share * 20.0) as u32;
            organisation.queue_limit = 200_000;
            organisation.guarantees = self.guarantees(index);
            if self == Self::Letter {
                organisation.quota_accelerators = Some(((share * 30_000.0) as u32).max(800));
            }
            organisation
        });
        let data_centres = self.topology().data_centres.into_iter().map(|dc| DataCentreStatus {
            id: dc.id,
            in_service: true,
        });
        Config {
            organisations: organisations.collect(),
            data_centres: data_centres.collect(),
            ..Config::default()
        }
    }

    /// Returns the guarantees of one organisation; all of them together fit with one data centre out of service.
    fn guarantees(self, organisation: usize) -> Vec<Guarantee> {
        let rack = |count, parts, accelerators| (count, Shape::new(parts, accelerators, Adjacency::Rack));
        let worker = |count, accelerators| (count, Shape::new(1, accelerators, Adjacency::Worker));
        let shapes = match (self, organisation) {
            (Self::Lochside, 0) => vec![rack(1, 4, 8), worker(8, 2)],
            (Self::Lochside, 1) => vec![rack(1, 2, 8), worker(4, 4)],
            (Self::Lochside, 2) => vec![rack(1, 4, 8)],
            (Self::Lochside, _) => vec![rack(2, 2, 8), worker(4, 4)],
            (Self::Lanka, 0) => vec![rack(1, 4, 8), worker(16, 1)],
            (Self::Lanka, 1) => vec![rack(2, 2, 8)],
            (Self::Lanka, 2) => vec![worker(8, 2)],
            (Self::Lanka, _) => vec![rack(1, 4, 8), rack(2, 2, 4), worker(8, 2)],
            (Self::Letter, 0..26) => vec![rack(2, 8, 8), worker(64, 2)],
            (Self::Letter, _) => vec![rack(4, 8, 8)],
        };
        let guarantee = |(count, shape)| Guarantee {
            shape,
            count,
            data_centre: None,
        };
        shapes.into_iter().map(guarantee).collect()
    }
}

impl FromStr for Deployment {
    type Err = UnknownDeployment;

    fn from_str(name: &str) -> Result<Self, UnknownDeployment> {
        [Self::Lochside, Self::Lanka, Self::Letter]
            .into_iter()
            .find(|deployment| deployment.name() == name)
            .ok_or_else(|| UnknownDeployment { name: name.into() })
    }
}
