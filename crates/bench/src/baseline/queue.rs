use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use model::{Class, Resources, Shape};
use policy::JobKey;

/// Sort key of a job in its bucket: higher priority first, then earlier arrival.
pub(crate) type QueueKey = (Reverse<u8>, u64);

/// Properties that all jobs of a bucket share; if one of them does not fit, none does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct BucketKey {
    pub(crate) organisation: usize,
    pub(crate) class: Class,
    pub(crate) shape: Shape,
    pub(crate) part: Resources,
    pub(crate) idempotent: bool,
}

/// Waiting jobs in buckets of equal need, so that a pass tries each need that does not fit only once.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    index: HashMap<BucketKey, usize>,
    buckets: Vec<(BucketKey, BTreeMap<QueueKey, JobKey>)>,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn bucket_of(&mut self, kind: BucketKey) -> usize {
        let buckets = &mut self.buckets;
        *self.index.entry(kind).or_insert_with(|| {
            buckets.push((kind, BTreeMap::new()));
            buckets.len() - 1
        })
    }

    pub(crate) fn insert(&mut self, bucket: usize, queue_key: QueueKey, job: JobKey) {
        self.len += usize::from(self.buckets[bucket].1.insert(queue_key, job).is_none());
    }

    pub(crate) fn remove(&mut self, bucket: usize, queue_key: QueueKey) {
        self.len -= usize::from(self.buckets[bucket].1.remove(&queue_key).is_some());
    }

    /// Returns the indices of the non-empty buckets.
    pub(crate) fn non_empty(&self) -> impl Iterator<Item = usize> {
        (0..self.buckets.len()).filter(|bucket| !self.buckets[*bucket].1.is_empty())
    }

    /// Returns the first job of the bucket after `queue_key`.
    pub(crate) fn after(&self, bucket: usize, queue_key: Option<QueueKey>) -> Option<(QueueKey, JobKey)> {
        let jobs = &self.buckets[bucket].1;
        let next = match queue_key {
            None => jobs.iter().next(),
            Some(queue_key) => jobs
                .range((std::ops::Bound::Excluded(queue_key), std::ops::Bound::Unbounded))
                .next(),
        };
        next.map(|(queue_key, job)| (*queue_key, *job))
    }

    /// Returns the shape of the widest waiting job.
    pub(crate) fn widest(&self) -> Option<(Shape, Resources)> {
        self.non_empty()
            .map(|bucket| (self.buckets[bucket].0.shape, self.buckets[bucket].0.part))
            .max_by_key(|(shape, _)| shape.accelerators())
    }
}
