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
    /// Calls wait 2 s for a reply and connections idle for 2 s are pinged, so that an unresponsive connection is closed
    /// after at most 4 s.
    pub const fn new() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_secs(2),
            run_check_interval: Duration::from_secs(1),
            idle_check_interval: Duration::from_secs(2),
            max_reply_bytes: 64 << 20,
        }
    }

    /// Sets the timeout for establishing a connection.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long a call waits for its reply once the connection is established.
    #[must_use]
    pub const fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets the time without a reply after which `run` sends its request again on another connection.
    ///
    /// The worker starts a task only once, so the repeated request waits for the same task. The interval limits the
    /// delay of an urgent start on an unresponsive connection.
    #[must_use]
    pub const fn run_check_interval(mut self, interval: Duration) -> Self {
        self.run_check_interval = interval;
        self
    }

    /// Sets the time without a reply after which an address is pinged.
    #[must_use]
    pub const fn idle_check_interval(mut self, interval: Duration) -> Self {
        self.idle_check_interval = interval;
        self
    }

    /// Sets the maximum size of a reply, in bytes.
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
