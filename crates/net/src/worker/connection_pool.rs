use std::time::{Duration, Instant};

use awc::{Client, Connector};
use model::WorkerId;

use super::WorkerClientOptions;

/// Connections to one address.
#[derive(Clone)]
pub(super) struct Target {
    /// Pool of connections; replaced as a whole once one of them is silent.
    pub client: Client,
    /// Number of replacements, so that concurrent timeouts replace the pool once.
    pub generation: u64,
    /// When the last reply arrived, or when the pool was created.
    pub heard_at: Instant,
    /// Worker that an idle check pings.
    pub worker: WorkerId,
}

impl Target {
    /// An idle connection is used again for 4 s at most: servers commonly close theirs after 5 s, and a request that
    /// meets the close counts as lost.
    const KEEP_IDLE: Duration = Duration::from_secs(4);

    pub fn new(options: &WorkerClientOptions, generation: u64, worker: WorkerId) -> Self {
        // No limit on connections: `run` occupies one for each task, and waiting for a free one would look like silence.
        let connector = Connector::new()
            .timeout(options.connect_timeout)
            .conn_keep_alive(Self::KEEP_IDLE)
            .limit(0);
        Self {
            client: Client::builder()
                .connector(connector)
                .disable_timeout()
                .disable_redirects()
                .finish(),
            generation,
            heard_at: Instant::now(),
            worker,
        }
    }
}
