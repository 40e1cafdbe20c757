use std::ops::Range;

use model::{Adjacency, DataCentreId, Resources, Shape, Topology};

/// Index ranges of racks and data centres over the workers in topology order.
#[derive(Debug, Clone, Default)]
pub(crate) struct Layout {
    workers: usize,
    pub(crate) racks: Vec<Range<usize>>,
    pub(crate) data_centres: Vec<(DataCentreId, Range<usize>)>,
}

impl Layout {
    pub(crate) fn new(topology: &Topology) -> Self {
        let mut layout = Self::default();
        for dc in &topology.data_centres {
            let dc_start = layout.workers;
            for rack in &dc.racks {
                let start = layout.workers;
                layout.workers += rack.workers.len();
                layout.racks.push(start..layout.workers);
            }
            layout.data_centres.push((dc.id.clone(), dc_start..layout.workers));
        }
        layout
    }

    /// Returns the number of placement domains for an adjacency.
    pub(crate) fn domain_count(&self, adjacency: Adjacency) -> usize {
        match adjacency {
            Adjacency::Worker => self.workers,
            Adjacency::Rack => self.racks.len(),
            Adjacency::DataCentre => self.data_centres.len(),
        }
    }

    /// Returns the workers of one placement domain for an adjacency.
    pub(crate) fn domain(&self, adjacency: Adjacency, index: usize) -> Range<usize> {
        match adjacency {
            Adjacency::Worker => index..index + 1,
            Adjacency::Rack => self.racks[index].clone(),
            Adjacency::DataCentre => self.data_centres[index].1.clone(),
        }
    }

    /// Returns whether all these workers belong to one placement domain for the adjacency.
    pub(crate) fn is_adjacent(&self, adjacency: Adjacency, workers: &[u32]) -> bool {
        (0..self.domain_count(adjacency)).any(|index| {
            let range = self.domain(adjacency, index);
            workers.iter().all(|worker| range.contains(&(*worker as usize)))
        })
    }

    /// Returns the index of the data centre of a worker.
    pub(crate) fn data_centre_of(&self, worker: usize) -> usize {
        self.data_centres
            .iter()
            .position(|(_, range)| range.contains(&worker))
            .unwrap_or_default()
    }

    /// Returns the free accelerators that whole gangs of this shape could use at once.
    pub(crate) fn usable_accelerators(&self, shape: Shape, part: Resources, free: impl Fn(usize) -> Resources) -> u32 {
        (0..self.domain_count(shape.adjacency))
            .map(|index| {
                let fitting_parts: u32 = self
                    .domain(shape.adjacency, index)
                    .map(|worker| u32::from(free(worker).count_of(part)))
                    .sum();
                fitting_parts / u32::from(shape.parts.max(1)) * shape.accelerators()
            })
            .sum()
    }
}
