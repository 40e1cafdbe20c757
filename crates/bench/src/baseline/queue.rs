use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use model::{Class, Resources, Shape};
use policy::JobKey;

/// Place of a job in its bucket: higher priority first, then the earlier arrival.
pub(crate) type Turn = (Reverse<u8>, u64);

/// What the jobs of one bucket have in common: if one does not fit, none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Kind {
    pub(crate) organisation: usize,
    pub(crate) class: Class,
    pub(crate) shape: Shape,
    pub(crate) part: Resources,
    pub(crate) idempotent: bool,
}

/// Waiting jobs in buckets of equal need, so that a pass looks at each need once.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    index: HashMap<Kind, usize>,
    buckets: Vec<(Kind, BTreeMap<Turn, JobKey>)>,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn bucket_of(&mut self, kind: Kind) -> usize {
        let buckets = &mut self.buckets;
        *self.index.entry(kind).or_insert_with(|| {
            buckets.push((kind, BTreeMap::new()));
            buckets.len() - 1
        })
    }

    pub(crate) fn insert(&mut self, bucket: usize, turn: Turn, job: JobKey) {
        self.len += usize::from(self.buckets[bucket].1.insert(turn, job).is_none());
    }

    pub(crate) fn remove(&mut self, bucket: usize, turn: Turn) {
        self.len -= usize::from(self.buckets[bucket].1.remove(&turn).is_some());
    }

    /// Returns the buckets that hold jobs.
    pub(crate) fn filled(&self) -> impl Iterator<Item = usize> {
        (0..self.buckets.len()).filter(|bucket| !self.buckets[*bucket].1.is_empty())
    }

    /// Returns the first job of the bucket after `turn`.
    pub(crate) fn after(&self, bucket: usize, turn: Option<Turn>) -> Option<(Turn, JobKey)> {
        let jobs = &self.buckets[bucket].1;
        let next = match turn {
            None => jobs.iter().next(),
            Some(turn) => jobs
                .range((std::ops::Bound::Excluded(turn), std::ops::Bound::Unbounded))
                .next(),
        };
        next.map(|(turn, job)| (*turn, *job))
    }

    /// Returns the shape of the widest waiting job.
    pub(crate) fn widest(&self) -> Option<(Shape, Resources)> {
        self.filled()
            .map(|bucket| (self.buckets[bucket].0.shape, self.buckets[bucket].0.part))
            .max_by_key(|(shape, _)| shape.accelerators())
    }
}
