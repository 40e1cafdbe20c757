use std::time::Duration;

/// Options of a [`PlatformClient`](crate::PlatformClient).
#[derive(Debug, Clone)]
pub struct PlatformClientOptions {
    pub(crate) base_url: String,
    pub(crate) connect_timeout: Duration,
    pub(crate) timeout: Duration,
    pub(crate) budget_wait: Duration,
    pub(crate) writes_per_s: f64,
    pub(crate) reads_per_s: f64,
    pub(crate) failures_to_open: u32,
    pub(crate) probe_after: (Duration, Duration),
    pub(crate) idle_check_interval: Duration,
}

impl PlatformClientOptions {
    /// Creates the default options for one of six instances: 60 writes/s and 300 reads/s.
    pub fn new(base_url: impl Into<String>) -> Self {
        Self {
            base_url: base_url.into(),
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
            budget_wait: Duration::from_secs(5),
            writes_per_s: 60.0,
            reads_per_s: 300.0,
            failures_to_open: 5,
            probe_after: (Duration::from_millis(500), Duration::from_secs(2)),
            idle_check_interval: Duration::from_secs(2),
        }
    }

    /// Sets the bound for making a connection.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long a request waits for its reply after the connection is made.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets how long a request waits for the budget before it fails unsent.
    #[must_use]
    pub const fn budget_wait(mut self, wait: Duration) -> Self {
        self.budget_wait = wait;
        self
    }

    /// Sets the budget of writes in one second.
    #[must_use]
    pub const fn writes_per_s(mut self, writes_per_s: f64) -> Self {
        self.writes_per_s = writes_per_s;
        self
    }

    /// Sets the budget of reads in one second.
    #[must_use]
    pub const fn reads_per_s(mut self, reads_per_s: f64) -> Self {
        self.reads_per_s = reads_per_s;
        self
    }

    /// Sets how many consecutive failures open the circuit breaker.
    #[must_use]
    pub const fn failures_to_open(mut self, failures: u32) -> Self {
        self.failures_to_open = failures;
        self
    }

    /// Sets the shortest and the longest pause of the open circuit breaker before it lets one request through.
    #[must_use]
    pub const fn probe_after(mut self, shortest: Duration, longest: Duration) -> Self {
        self.probe_after = (shortest, longest);
        self
    }

    /// Sets after how long without a reply the connections are checked.
    #[must_use]
    pub const fn idle_check_interval(mut self, interval: Duration) -> Self {
        self.idle_check_interval = interval;
        self
    }
}
