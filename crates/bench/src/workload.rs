use model::{Adjacency, Shape};

use crate::Deployment;

/// Parameters of the arrivals and incidents of one run; `docs/notes/policy-bench.md` gives the reason for each.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// Time during which jobs arrive.
    pub horizon_ms: u64,
    /// Time after the last arrival within which every job must end.
    pub drain_ms: u64,
    /// Offered accelerator time of narrow jobs as a share of all accelerators.
    pub narrow_load: f64,
    /// Offered accelerator time of wide jobs as a share of all accelerators.
    pub wide_load: f64,
    /// Share of narrow and wide jobs that arrive in bursts, both kinds at the same instants.
    pub burst_share: f64,
    /// Number of bursts.
    pub bursts: u32,
    /// Narrow shapes with their weights.
    pub narrow_shapes: Vec<(Shape, f64)>,
    /// Wide shapes with their weights.
    pub wide_shapes: Vec<(Shape, f64)>,
    /// Median run time of narrow jobs (log-normal).
    pub narrow_median_ms: f64,
    /// Standard deviation of the logarithm of narrow run times.
    pub narrow_sigma: f64,
    /// Longest narrow run time.
    pub narrow_max_ms: f64,
    /// Shortest run time of wide jobs (Pareto).
    pub wide_min_ms: f64,
    /// Exponent of the run times of wide jobs.
    pub wide_alpha: f64,
    /// Longest run time of wide jobs.
    pub wide_max_ms: f64,
    /// Narrow jobs present at the start, so that the run begins in a steady state.
    pub initial_narrow: u32,
    /// Wide jobs present at the start.
    pub initial_wide: u32,
    /// Urgent requests per second.
    pub urgent_per_s: f64,
    /// Maximum number of slots that instances reserve as grants for urgent requests.
    pub grant_slots: u32,
    /// Interval between two waves of jobs that the guarantees cover.
    pub wave_interval_ms: u64,
    /// Run time of the jobs of a wave.
    pub wave_run_ms: u64,
    /// Periods in which a data centre is out of service: index, start and end in milliseconds.
    pub outages: Vec<(usize, u64, u64)>,
    /// Workers that fail every task for a time.
    pub broken_workers: u32,
    /// Workers that crash and restart.
    pub crashing_workers: u32,
}

const MINUTE_MS: u64 = 60_000;

impl Workload {
    /// Returns the parameters of a deployment.
    pub(crate) fn of(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Lochside => Self::lochside(),
            Deployment::Lanka => Self {
                narrow_load: 0.5,
                wide_load: 0.25,
                narrow_shapes: vec![
                    (Shape::new(1, 1, Adjacency::Worker), 70.0),
                    (Shape::new(1, 2, Adjacency::Worker), 15.0),
                    (Shape::new(2, 1, Adjacency::Rack), 10.0),
                    (Shape::new(1, 4, Adjacency::Worker), 5.0),
                ],
                wide_shapes: vec![
                    (Shape::new(2, 8, Adjacency::Rack), 35.0),
                    (Shape::new(4, 4, Adjacency::Rack), 35.0),
                    (Shape::new(4, 8, Adjacency::Rack), 20.0),
                    (Shape::new(8, 8, Adjacency::DataCentre), 10.0),
                ],
                narrow_median_ms: 8_000.0,
                urgent_per_s: 8.0,
                outages: vec![(1, 12 * MINUTE_MS, 18 * MINUTE_MS), (0, 36 * MINUTE_MS, 42 * MINUTE_MS)],
                ..Self::lochside()
            },
            Deployment::Letter => Self::letter(),
        }
    }

    fn lochside() -> Self {
        Self {
            horizon_ms: 60 * MINUTE_MS,
            drain_ms: 120 * MINUTE_MS,
            narrow_load: 0.4,
            wide_load: 0.35,
            burst_share: 0.4,
            bursts: 15,
            narrow_shapes: vec![
                (Shape::new(1, 1, Adjacency::Worker), 50.0),
                (Shape::new(1, 2, Adjacency::Worker), 20.0),
                (Shape::new(1, 4, Adjacency::Worker), 15.0),
                (Shape::new(2, 1, Adjacency::Rack), 10.0),
                (Shape::new(1, 8, Adjacency::Worker), 5.0),
            ],
            wide_shapes: vec![
                (Shape::new(2, 8, Adjacency::Rack), 40.0),
                (Shape::new(4, 8, Adjacency::Rack), 30.0),
                (Shape::new(16, 2, Adjacency::DataCentre), 15.0),
                (Shape::new(8, 8, Adjacency::DataCentre), 15.0),
            ],
            narrow_median_ms: 15_000.0,
            narrow_sigma: 1.2,
            narrow_max_ms: 600_000.0,
            wide_min_ms: 60_000.0,
            wide_alpha: 1.6,
            wide_max_ms: 900_000.0,
            initial_narrow: 0,
            initial_wide: 0,
            urgent_per_s: 10.0,
            grant_slots: 24,
            wave_interval_ms: 4 * MINUTE_MS,
            wave_run_ms: 45_000,
            outages: vec![(1, 20 * MINUTE_MS, 30 * MINUTE_MS)],
            broken_workers: 2,
            crashing_workers: 2,
        }
    }

    pub(crate) fn letter() -> Self {
        Self {
            horizon_ms: 30 * MINUTE_MS,
            drain_ms: 14 * 60 * MINUTE_MS,
            narrow_load: 0.76,
            // 500 jobs a day of 55 accelerators and 3 hours on average keep 3,400 of 23,040 accelerators busy.
            wide_load: 0.15,
            burst_share: 0.3,
            bursts: 8,
            narrow_shapes: vec![
                (Shape::new(1, 1, Adjacency::Worker), 80.0),
                (Shape::new(1, 0, Adjacency::Worker), 15.0),
                (Shape::new(1, 2, Adjacency::Worker), 5.0),
            ],
            wide_shapes: vec![
                (Shape::new(8, 4, Adjacency::Rack), 40.0),
                (Shape::new(16, 4, Adjacency::DataCentre), 25.0),
                (Shape::new(32, 2, Adjacency::DataCentre), 20.0),
                (Shape::new(64, 2, Adjacency::DataCentre), 10.0),
                (Shape::new(8, 8, Adjacency::Rack), 5.0),
            ],
            narrow_median_ms: 120_000.0,
            narrow_sigma: 1.2,
            narrow_max_ms: 1_800_000.0,
            wide_min_ms: 3_600_000.0,
            wide_alpha: 1.4,
            wide_max_ms: 36_000_000.0,
            initial_narrow: 18_500,
            initial_wide: 62,
            urgent_per_s: 20.0,
            grant_slots: 64,
            wave_interval_ms: 5 * MINUTE_MS,
            wave_run_ms: 60_000,
            outages: vec![(2, 10 * MINUTE_MS, 15 * MINUTE_MS)],
            broken_workers: 10,
            crashing_workers: 10,
        }
    }
}
