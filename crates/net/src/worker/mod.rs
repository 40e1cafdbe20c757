//! HTTP client of workers and the messages that are not defined in `model`.

mod connection_pool;
mod fence_request;
mod ping_reply;
mod revoke_request;
mod task_command;
mod throttle_request;
mod transport;
mod usage_entry;
mod usage_page;
mod worker_call_error;
mod worker_client;
mod worker_client_options;
mod worker_client_stats;

pub use fence_request::FenceRequest;
pub use ping_reply::PingReply;
pub use revoke_request::RevokeRequest;
pub use task_command::TaskCommand;
pub use throttle_request::ThrottleRequest;
pub use usage_entry::UsageEntry;
pub use usage_page::UsagePage;
pub use worker_call_error::WorkerCallError;
pub use worker_client::WorkerClient;
pub use worker_client_options::WorkerClientOptions;
pub use worker_client_stats::WorkerClientStats;
