//! HTTP client of the platform.

mod breaker;
mod platform_client;
mod platform_client_options;
mod platform_client_stats;
mod rate_limiter;
mod transport;
mod txn_reply;

pub use platform_client::PlatformClient;
pub use platform_client_options::PlatformClientOptions;
pub use platform_client_stats::PlatformClientStats;
pub use transport::{IDLE_KEEP_ALIVE, NoReply, Reply, Transport, exchange};
pub use txn_reply::{ConflictBody, TxnReply};
