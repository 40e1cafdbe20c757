use std::time::{Duration, Instant};

use awc::{Client, Connector};
use model::WorkerId;

use super::WorkerClientOptions;

/// Connection pool for one address.
#[derive(Clone)]
pub(super) struct ConnectionPool {
    /// HTTP client with its connections; replaced as a whole once one of them is unresponsive.
    pub client: Client,
    /// Number of replacements, so that concurrent timeouts replace the pool only once.
    pub generation: u64,
    /// When the last reply arrived, or when the pool was created.
    pub last_reply_at: Instant,
    /// Worker that an idle check pings.
    pub worker: WorkerId,
}

impl ConnectionPool {
    /// Maximum idle time of a reused connection; servers commonly close idle connections after 5 s, and a request that
    /// races with the close counts as lost.
    const IDLE_KEEP_ALIVE: Duration = Duration::from_secs(4);

    pub fn new(options: &WorkerClientOptions, generation: u64, worker: WorkerId) -> Self {
        // No limit on connections: `run` occupies one for each task, and waiting for a free one would end in a timeout.
        let connector = Connector::new()
            .timeout(options.connect_timeout)
            .conn_keep_alive(Self::IDLE_KEEP_ALIVE)
            .limit(0);
        Self {
            client: Client::builder()
                .connector(connector)
                .disable_timeout()
                .disable_redirects()
                .finish(),
            generation,
            last_reply_at: Instant::now(),
            worker,
        }
    }
}
