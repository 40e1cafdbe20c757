use std::collections::BTreeSet;

use crate::WorkerKey;

/// Index over the capacity of one data centre's workers in one view, updated with each change of a worker.
#[derive(Debug)]
pub(crate) struct CapacityIndex {
    /// Workers with a free slot, by number of free accelerators.
    buckets: Vec<BTreeSet<WorkerKey>>,
    /// Racks by the number of parts that fit, for each number of accelerators per part.
    racks: Vec<BTreeSet<(u16, u32)>>,
    /// The same numbers by rack position within the data centre.
    counts: Vec<Vec<u16>>,
    first_rack: u32,
}

impl CapacityIndex {
    pub fn new(max_accelerators: u16, first_rack: u32, racks: usize) -> Self {
        let sizes = usize::from(max_accelerators) + 1;
        let all: BTreeSet<_> = (first_rack..first_rack + racks as u32).map(|rack| (0, rack)).collect();
        Self {
            buckets: vec![BTreeSet::new(); sizes],
            racks: vec![all; sizes],
            counts: vec![vec![0; sizes]; racks],
            first_rack,
        }
    }

    /// Updates the index for a worker whose slots and accelerators changed from `old` to `new`.
    pub fn update(&mut self, worker: WorkerKey, rack: u32, old: Option<(u16, u16)>, new: Option<(u16, u16)>) {
        let bucket = |entry: Option<(u16, u16)>| entry.filter(|e| e.0 > 0).map(|e| usize::from(e.1));
        if bucket(old) != bucket(new) {
            if let Some(bucket) = bucket(old) {
                self.buckets[bucket].remove(&worker);
            }
            if let Some(bucket) = bucket(new) {
                self.buckets[bucket].insert(worker);
            }
        }
        let parts = |entry: Option<(u16, u16)>, size: u16| {
            entry.map_or(0, |(slots, accelerators)| {
                slots.min(accelerators.checked_div(size).unwrap_or(u16::MAX))
            })
        };
        let counts = &mut self.counts[(rack - self.first_rack) as usize];
        for (size, count) in counts.iter_mut().enumerate() {
            let (before, after) = (parts(old, size as u16), parts(new, size as u16));
            if before != after {
                let racks = &mut self.racks[size];
                racks.remove(&(*count, rack));
                *count = *count + after - before;
                racks.insert((*count, rack));
            }
        }
    }

    /// Returns workers with at least that many free accelerators and a free slot, best fit first.
    ///
    /// Returns only a few for each number, which bounds the search when processors or memory are the bottleneck.
    pub fn workers(&self, accelerators: usize) -> impl Iterator<Item = WorkerKey> + '_ {
        const MAX_TRIES_PER_BUCKET: usize = 4;
        self.buckets
            .iter()
            .skip(accelerators)
            .flat_map(|bucket| bucket.iter().take(MAX_TRIES_PER_BUCKET).copied())
    }

    /// Returns racks where at least that many parts fit, best fit first.
    pub fn racks(&self, size: usize, parts: u16) -> impl Iterator<Item = u32> + '_ {
        let racks = self.racks.get(size);
        racks
            .into_iter()
            .flat_map(move |racks| racks.range((parts, 0)..).map(|&(_, rack)| rack))
    }

    /// Returns the rack where the most parts fit, with their number.
    pub fn largest_rack(&self, size: usize) -> Option<(u16, u32)> {
        self.racks.get(size)?.last().copied()
    }

    /// Returns the number of parts that fit in each rack, in order of position.
    pub fn counts(&self, size: usize) -> impl Iterator<Item = u32> + '_ {
        self.counts
            .iter()
            .map(move |counts| counts.get(size).copied().unwrap_or(0).into())
    }

    pub const fn first_rack(&self) -> u32 {
        self.first_rack
    }
}

impl CapacityIndex {
    /// Returns up to `most` racks where the most parts fit.
    pub fn largest_racks(&self, size: usize, most: usize) -> impl Iterator<Item = u32> + '_ {
        let racks = self.racks.get(size);
        racks
            .into_iter()
            .flat_map(move |racks| racks.iter().rev().take(most).map(|&(_, rack)| rack))
    }
}
