use serde::{Deserialize, Serialize};

use crate::{DataCentre, DataCentreId, Rack, Resources, Worker};

/// All data centres with their racks and workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topology {
    /// Data centres, sorted by id.
    pub data_centres: Vec<DataCentre>,
}

impl Topology {
    /// Creates a topology of `workers` identical workers spread evenly over `data_centres` data centres.
    ///
    /// Names follow the pattern `dc1`, `dc1-r1` and `dc1-r1-w1`. The first half of the data centres is in region `north`,
    /// the rest in region `south`; fewer than four data centres are all in `north`.
    ///
    /// # Panics
    ///
    /// Panics if `data_centres` or `workers_per_rack` is 0.
    pub fn uniform(data_centres: usize, workers: usize, workers_per_rack: usize, capacity: Resources) -> Self {
        assert!(
            data_centres > 0 && workers_per_rack > 0,
            "a topology needs at least one data centre and one worker per rack"
        );
        let build = |dc: usize| {
            let count = workers / data_centres + usize::from(dc < workers % data_centres);
            let name = format!("dc{}", dc + 1);
            let region = if data_centres < 4 || dc < data_centres / 2 {
                "north"
            } else {
                "south"
            };
            let mut racks = Vec::new();
            for first in (0..count).step_by(workers_per_rack) {
                let rack = format!("{name}-r{}", racks.len() + 1);
                let size = workers_per_rack.min(count - first);
                let workers = (1..=size)
                    .map(|w| Worker {
                        id: format!("{rack}-w{w}")
                            .as_str()
                            .try_into()
                            .expect("generated names are valid"),
                        capacity,
                        connections: 64,
                    })
                    .collect();
                racks.push(Rack {
                    id: rack.as_str().try_into().expect("generated names are valid"),
                    workers,
                });
            }
            DataCentre {
                id: name.as_str().try_into().expect("generated names are valid"),
                region: region.into(),
                racks,
            }
        };
        Self {
            data_centres: (0..data_centres).map(build).collect(),
        }
    }

    /// Returns the data centre with this id.
    pub fn data_centre(&self, id: &DataCentreId) -> Option<&DataCentre> {
        self.data_centres.iter().find(|dc| dc.id == *id)
    }

    /// Returns all workers, by data centre, then rack, then position.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.data_centres.iter().flat_map(DataCentre::workers)
    }
}
