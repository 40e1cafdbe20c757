use std::time::Duration;

/// Options of a [`PlatformClient`](crate::PlatformClient).
#[derive(Debug, Clone)]
pub struct PlatformClientOptions {
    pub(crate) base_url: String,
    pub(crate) connect_timeout: Duration,
    pub(crate) timeout: Duration,
    pub(crate) rate_limit_wait: Duration,
    pub(crate) writes_per_s: f64,
    pub(crate) reads_per_s: f64,
    pub(crate) failure_threshold: u32,
    pub(crate) probe_delay: (Duration, Duration),
    pub(crate) idle_check_interval: Duration,
}

impl PlatformClientOptions {
    /// Creates the default options, with the rate limits of one of six instances: 60 writes/s and 300 reads/s.
    pub fn new(base_url: impl Into<String>) -> Self {
        Self {
            base_url: base_url.into(),
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
            rate_limit_wait: Duration::from_secs(5),
            writes_per_s: 60.0,
            reads_per_s: 300.0,
            failure_threshold: 5,
            probe_delay: (Duration::from_millis(500), Duration::from_secs(2)),
            idle_check_interval: Duration::from_secs(2),
        }
    }

    /// Sets the timeout for establishing a connection.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long a request waits for its reply once the connection is established.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets how long a request waits for the rate limiter before it fails unsent.
    #[must_use]
    pub const fn rate_limit_wait(mut self, wait: Duration) -> Self {
        self.rate_limit_wait = wait;
        self
    }

    /// Sets the rate limit for writes per second.
    #[must_use]
    pub const fn writes_per_s(mut self, writes_per_s: f64) -> Self {
        self.writes_per_s = writes_per_s;
        self
    }

    /// Sets the rate limit for reads per second.
    #[must_use]
    pub const fn reads_per_s(mut self, reads_per_s: f64) -> Self {
        self.reads_per_s = reads_per_s;
        self
    }

    /// Sets the number of consecutive failures that opens the circuit breaker.
    #[must_use]
    pub const fn failure_threshold(mut self, failures: u32) -> Self {
        self.failure_threshold = failures;
        self
    }

    /// Sets the shortest and longest delay before the open circuit breaker admits a probe request.
    #[must_use]
    pub const fn probe_delay(mut self, shortest: Duration, longest: Duration) -> Self {
        self.probe_delay = (shortest, longest);
        self
    }

    /// Sets the time without a reply after which the connections are checked.
    #[must_use]
    pub const fn idle_check_interval(mut self, interval: Duration) -> Self {
        self.idle_check_interval = interval;
        self
    }
}
