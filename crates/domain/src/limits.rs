/// Limits and factors of the deployment, from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum lease that a worker grants.
    pub lease_max_ms: u64,
    /// Maximum time that a worker takes to stop a run.
    pub stop_grace_ms: u64,
    /// Time after which a gang member stops waiting for the others.
    pub gang_wait_ms: u64,
    /// Store grace period: time for which a lease holder continues without the store.
    pub store_grace_ms: u64,
    /// Factor by which tasks take longer away from the rack of their data or their gang.
    pub remote_factor: f64,
    /// Time within which a job under a guarantee must have started.
    pub reclaim_ms: u64,
    /// Maximum age of the list of workers for new starts: a capacity that has shrunk must be respected by then.
    pub worker_list_age_max_ms: u64,
    /// Maximum age of the newest known cancellations for new starts: a cancelled job must not start by then.
    pub jobs_age_max_ms: u64,
    /// Retention of the rows of a job in a final state.
    pub keep_finished_ms: u64,
    /// Whether waiting work is ordered, and victims of preemption are chosen, by what the delay costs callers when
    /// capacity is insufficient.
    pub weighs_delays: bool,
    /// Maximum size of a row's value in the store.
    pub value_bytes_max: usize,
}

impl Limits {
    /// Fraction by which a worker's clock may run slow, as specified by the platform.
    pub const CLOCK_DRIFT: f64 = 0.02;

    /// Margin for scheduling delays of both processes before a lease counts as expired or a stop as carried out.
    pub const SCHEDULING_MARGIN_MS: u64 = 150;

    /// Returns the store grace period as another instance has to count it, whose clock may run faster.
    pub fn former_grace_ms(&self) -> u64 {
        (self.store_grace_ms as f64 / (1.0 - Self::CLOCK_DRIFT)) as u64
    }

    /// Returns the time after the confirmation of a stop by which the worker has certainly listed the end of the run.
    pub fn stop_limit_ms(&self) -> u64 {
        (self.stop_grace_ms as f64 / (1.0 - Self::CLOCK_DRIFT)) as u64 + Self::SCHEDULING_MARGIN_MS
    }

    /// Returns the time after sending a command by which the lease that it grants has certainly expired.
    pub fn lease_expiry_ms(&self) -> u64 {
        (self.lease_max_ms as f64 / (1.0 - Self::CLOCK_DRIFT)) as u64 + Self::SCHEDULING_MARGIN_MS
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease_max_ms: 6_000,
            stop_grace_ms: 200,
            gang_wait_ms: 3_000,
            store_grace_ms: 4_000,
            remote_factor: 3.0,
            reclaim_ms: 2_700,
            worker_list_age_max_ms: 2_400,
            jobs_age_max_ms: 2_400,
            keep_finished_ms: 600_000,
            weighs_delays: false,
            value_bytes_max: 49_152,
        }
    }
}
