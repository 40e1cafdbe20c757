use std::time::Duration;

use hdrhistogram::Histogram;

use crate::{JobKind, Sample, Violations};

/// Measurements of one run of a policy. Times in histograms are milliseconds.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Time from arrival to end by kind, for every job that can run and is not cancelled.
    pub completion_ms: [Histogram<u64>; 4],
    /// Time from arrival to first start of urgent requests; one that never starts counts with its deadline.
    pub urgent_start_ms: Histogram<u64>,
    /// Time from the arrival of a job that a guarantee covers to its first start.
    pub reclaim_ms: Histogram<u64>,
    /// Jobs that a guarantee covers.
    pub reclaims: u64,
    /// Jobs among `reclaims` for whose shape too little capacity was free on arrival.
    pub contended_reclaims: u64,
    /// Jobs among `reclaims` that started within [`Metrics::RECLAIM_BOUND_MS`].
    pub reclaims_in_bound: u64,
    /// Cluster state every second until the last arrival.
    pub samples: Vec<Sample>,
    /// Accelerator time of useful work in the remaining data centres during outages of a data centre.
    pub outage_work_ms: u64,
    /// Accelerator time that the remaining capacity and the demand allowed during outages.
    pub outage_allowed_ms: u64,
    /// Part of that work that preemptions discarded.
    pub outage_discarded_ms: u64,
    /// Violated invariants.
    pub violations: Violations,
    /// Jobs finished, refused, failed, cancelled, with unknown outcome.
    pub outcomes: [u64; 5],
    /// Guarantees that the policy reported as lost.
    pub lost_guarantees: u64,
    /// Decisions of the policy.
    pub decisions: u64,
    /// Preemptions among them.
    pub preemptions: u64,
    /// Accelerator time of progress that preemptions discarded.
    pub discarded_ms: u64,
    /// Configurations with a changed data centre that the policy rejected.
    pub rejected_configurations: u64,
    /// Requests for grants that failed.
    pub grant_misses: u64,
    /// Time spent in calls of the policy.
    pub policy_time: Duration,
    /// Calls of the policy.
    pub calls: u64,
}

impl Metrics {
    /// Bound on the time from the arrival of a job that a guarantee covers to its start.
    pub const RECLAIM_BOUND_MS: u64 = 5_000;
    const MAX_MS: u64 = 48 * 3_600_000;

    /// Creates empty measurements.
    ///
    /// # Panics
    ///
    /// Never panics in practice: the bounds of the histograms are constants in range.
    pub fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, Self::MAX_MS, 3).expect("bounds are in range");
        Self {
            completion_ms: std::array::from_fn(|_| histogram()),
            urgent_start_ms: histogram(),
            reclaim_ms: histogram(),
            reclaims: 0,
            contended_reclaims: 0,
            reclaims_in_bound: 0,
            samples: Vec::new(),
            outage_work_ms: 0,
            outage_allowed_ms: 0,
            outage_discarded_ms: 0,
            violations: Violations::default(),
            outcomes: [0; 5],
            lost_guarantees: 0,
            decisions: 0,
            preemptions: 0,
            discarded_ms: 0,
            rejected_configurations: 0,
            grant_misses: 0,
            policy_time: Duration::ZERO,
            calls: 0,
        }
    }

    /// Returns the completion times of all deferred kinds together.
    ///
    /// # Panics
    ///
    /// Never panics in practice: all histograms have the same bounds.
    pub fn deferred_completion_ms(&self) -> Histogram<u64> {
        let mut all = self.completion_ms[JobKind::Narrow as usize].clone();
        for kind in [JobKind::Wide, JobKind::Owner] {
            all.add(&self.completion_ms[kind as usize]).expect("bounds are equal");
        }
        all
    }

    /// Records a time, at least 1 ms.
    pub(crate) fn record(histogram: &mut Histogram<u64>, value_ms: u64) {
        histogram.saturating_record(value_ms.max(1));
    }

    /// Adds the measurements of another seed.
    ///
    /// # Panics
    ///
    /// Never panics in practice: all histograms have the same bounds.
    pub fn merge(&mut self, other: &Self) {
        for (mine, theirs) in self.completion_ms.iter_mut().zip(&other.completion_ms) {
            mine.add(theirs).expect("bounds are equal");
        }
        self.urgent_start_ms
            .add(&other.urgent_start_ms)
            .expect("bounds are equal");
        self.reclaim_ms.add(&other.reclaim_ms).expect("bounds are equal");
        self.reclaims += other.reclaims;
        self.contended_reclaims += other.contended_reclaims;
        self.reclaims_in_bound += other.reclaims_in_bound;
        self.samples.extend_from_slice(&other.samples);
        self.outage_work_ms += other.outage_work_ms;
        self.outage_allowed_ms += other.outage_allowed_ms;
        self.outage_discarded_ms += other.outage_discarded_ms;
        self.violations += other.violations;
        for (mine, theirs) in self.outcomes.iter_mut().zip(other.outcomes) {
            *mine += theirs;
        }
        self.lost_guarantees += other.lost_guarantees;
        self.decisions += other.decisions;
        self.preemptions += other.preemptions;
        self.discarded_ms += other.discarded_ms;
        self.rejected_configurations += other.rejected_configurations;
        self.grant_misses += other.grant_misses;
        self.policy_time += other.policy_time;
        self.calls += other.calls;
    }

    /// Returns mean and 99th percentile of a figure over the samples.
    pub fn mean_and_p99(&self, figure: impl Fn(&Sample) -> f64) -> (f64, f64) {
        let mut values: Vec<f64> = self.samples.iter().map(figure).collect();
        if values.is_empty() {
            return (0.0, 0.0);
        }
        values.sort_by(f64::total_cmp);
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        (mean, values[(values.len() - 1) * 99 / 100])
    }

    /// Returns the share of jobs covered by a guarantee that started within the bound.
    pub fn reclaim_share(&self) -> f64 {
        self.reclaims_in_bound as f64 / self.reclaims.max(1) as f64
    }

    /// Returns the useful work during outages as a share of what the remaining capacity allowed.
    pub fn outage_work_share(&self) -> f64 {
        self.outage_work_ms.saturating_sub(self.outage_discarded_ms) as f64 / self.outage_allowed_ms.max(1) as f64
    }

    /// Returns decisions per second of time spent in the policy.
    pub fn decisions_per_s(&self) -> f64 {
        self.decisions as f64 / self.policy_time.as_secs_f64().max(1e-9)
    }

    /// Returns the mean number of accelerators that do useful work.
    pub fn mean_running(&self) -> f64 {
        self.mean_and_p99(|sample| f64::from(sample.running_accelerators)).0
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
