//! Messages between entry instances over gRPC, and the HTTP client of workers.
//!
//! [`peer`] holds the generated messages; the rest of the system converts them to the types of `model` on receipt.
//! [`WorkerClient`] sends commands to workers and distinguishes refusals, commands that were not sent and lost replies:
//!
//! ```no_run
//! use net::{WorkerCallError, WorkerClient, WorkerClientOptions};
//!
//! # async fn example() -> Result<(), model::InvalidId> {
//! let client = WorkerClient::new(WorkerClientOptions::new());
//! match client.fence("http://127.0.0.1:7500", &"dc1-r1-w1".parse()?, model::Epoch(7)).await {
//!     Ok(inventory) => println!("{} leases", inventory.leases.len()),
//!     Err(WorkerCallError::Lost) => println!("the epoch may have been raised"),
//!     Err(error) => println!("nothing changed: {error}"),
//! }
//! # Ok(())
//! # }
//! ```

pub mod peer;
mod worker;

pub use worker::{
    FenceRequest, PingReply, RevokeRequest, TaskCommand, ThrottleRequest, UsageEntry, UsagePage, WorkerCallError,
    WorkerClient, WorkerClientOptions, WorkerClientStats,
};
