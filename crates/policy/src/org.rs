use std::collections::BTreeMap;

use model::Class;

use crate::JobKey;
use crate::amount::Amount;
use crate::job::{QueueId, Rank};
use crate::run_time_correction::RunTimeCorrection;

/// Organisation with its queues, limits and usage.
#[derive(Debug)]
pub(crate) struct Org {
    /// Whether the configuration in force contains it.
    pub listed: bool,
    pub weight: u32,
    pub quota: Option<u32>,
    pub queue_limit: u32,
    /// Sum of the guaranteed shapes that the plan could pack.
    pub guaranteed: Amount,
    /// Its shares, the one with the smallest shape first.
    pub shares: Vec<u16>,
    pub usage: Amount,
    /// Queued jobs by class.
    pub queued: [u32; 2],
    pub boost: [u8; 2],
    pub queues: BTreeMap<QueueId, BTreeMap<Rank, JobKey>>,
    pub correction: RunTimeCorrection,
    pub wait_estimators: [WaitEstimator; 2],
}

impl Org {
    pub fn new() -> Self {
        Self {
            listed: false,
            weight: 1,
            quota: None,
            queue_limit: 0,
            guaranteed: Amount::default(),
            shares: Vec::new(),
            usage: Amount::default(),
            queued: [0; 2],
            boost: [0; 2],
            queues: BTreeMap::new(),
            correction: RunTimeCorrection::new(),
            wait_estimators: [WaitEstimator::default(); 2],
        }
    }

    pub const fn is_below_guarantee(&self) -> bool {
        self.usage.accelerators < self.guaranteed.accelerators
            || (self.guaranteed.accelerators == 0 && self.usage.slots < self.guaranteed.slots)
    }

    pub fn allows(&self, accelerators: i32) -> bool {
        self.quota
            .is_none_or(|quota| i64::from(self.usage.accelerators) + i64::from(accelerators) <= i64::from(quota))
    }

    pub fn push(&mut self, queue: QueueId, rank: Rank, job: JobKey) {
        self.queues.entry(queue).or_default().insert(rank, job);
        self.queued[queue.class as usize] += 1;
    }

    pub fn remove(&mut self, queue: QueueId, rank: Rank) {
        if let Some(jobs) = self.queues.get_mut(&queue)
            && jobs.remove(&rank).is_some()
        {
            self.queued[queue.class as usize] -= 1;
            if jobs.is_empty() {
                self.queues.remove(&queue);
            }
        }
    }

    /// Returns the first job of each queue of a class.
    pub fn heads(&self, class: Class) -> impl Iterator<Item = (Rank, QueueId, JobKey)> + '_ {
        let of_class = self.queues.iter().filter(move |(queue, _)| queue.class == class);
        of_class.filter_map(|(queue, jobs)| {
            let (rank, job) = jobs.first_key_value()?;
            Some((*rank, *queue, *job))
        })
    }
}

/// Estimates waits from the rate of starts of one organisation and class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WaitEstimator {
    interval_ms: f64,
    last_start_ms: u64,
    starts: u32,
}

impl WaitEstimator {
    /// Starts that must be recorded before an estimate is made.
    const MIN_STARTS: u32 = 16;

    pub fn record(&mut self, now_ms: u64, queued: u32) {
        // Gaps while nothing waited say nothing about the rate at which a queue drains.
        if self.starts > 0 && queued > 0 {
            let gap = now_ms.saturating_sub(self.last_start_ms) as f64;
            self.interval_ms += (gap - self.interval_ms) / f64::from(self.starts.min(64));
        }
        self.starts += 1;
        self.last_start_ms = now_ms;
    }

    /// Returns the expected time until that many queued jobs have started; 0 while too few starts were recorded.
    pub fn estimate_ms(&self, queued: u32) -> u64 {
        if self.starts < Self::MIN_STARTS {
            return 0;
        }
        (self.interval_ms * f64::from(queued)) as u64
    }
}
