/// Limits of the deployment; all come from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Longest lease that a worker grants.
    pub lease_max_ms: u64,
    /// Longest time that a worker takes to stop a run.
    pub stop_grace_ms: u64,
    /// Time after which a member of a gang gives up waiting for the others.
    pub gang_wait_ms: u64,
    /// Time for which a holder goes on without the store.
    pub holdover_ms: u64,
    /// Factor of the run time of tasks away from their data or their gang.
    pub remote_factor: f64,
    /// Time within which a guaranteed job must have started.
    pub reclaim_ms: u64,
    /// Time for which the rows of a final job stay.
    pub keep_finished_ms: u64,
}

impl Limits {
    /// Share by which the clock of a worker may be slow, as the platform states it.
    pub const CLOCK_DRIFT: f64 = 0.02;

    /// Allowance for scheduling delays of both processes when a lease is counted as expired.
    pub const LAPSE_MARGIN_MS: u64 = 150;

    /// Returns the time after sending an order when its lease has surely expired.
    pub fn lapse_ms(&self) -> u64 {
        (self.lease_max_ms as f64 / (1.0 - Self::CLOCK_DRIFT)) as u64 + Self::LAPSE_MARGIN_MS
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease_max_ms: 6_000,
            stop_grace_ms: 200,
            gang_wait_ms: 3_000,
            holdover_ms: 4_000,
            remote_factor: 3.0,
            reclaim_ms: 2_700,
            keep_finished_ms: 600_000,
        }
    }
}
