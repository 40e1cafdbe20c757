use std::time::Duration;

/// Options of a [`WorkerClient`](crate::WorkerClient).
#[derive(Debug, Clone, Copy)]
pub struct WorkerClientOptions {
    pub(crate) connect_timeout: Duration,
    pub(crate) call_timeout: Duration,
    pub(crate) run_check_interval: Duration,
    pub(crate) idle_check_interval: Duration,
    pub(crate) max_reply_bytes: usize,
}

impl WorkerClientOptions {
    /// Creates the default options.
    ///
    /// Calls wait 2 s for a reply and connections idle for 2 s are pinged, so that a connection is silent for at most
    /// 4 s before it is closed.
    pub const fn new() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            run_check_interval: Duration::from_secs(1),
            idle_check_interval: Duration::from_secs(2),
            max_reply_bytes: 64 << 20,
        }
    }

    /// Sets the bound for making a connection.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long a call waits for its reply after the connection is made.
    #[must_use]
    pub const fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets after how long without a reply `run` is sent again on another connection.
    ///
    /// The worker starts a task once, so the repeated request only waits for the same task. It bounds the delay of an
    /// urgent start on a silent connection.
    #[must_use]
    pub const fn run_check_interval(mut self, interval: Duration) -> Self {
        self.run_check_interval = interval;
        self
    }

    /// Sets after how long without a reply the connections to an address are pinged.
    #[must_use]
    pub const fn idle_check_interval(mut self, interval: Duration) -> Self {
        self.idle_check_interval = interval;
        self
    }

    /// Sets the largest reply that is read, in bytes.
    #[must_use]
    pub const fn max_reply_bytes(mut self, bytes: usize) -> Self {
        self.max_reply_bytes = bytes;
        self
    }
}

impl Default for WorkerClientOptions {
    fn default() -> Self {
        Self::new()
    }
}
