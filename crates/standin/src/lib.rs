//! Stand-ins for the platform, the workers and the links between processes, with faults that tests inject.
//!
//! Each runs as a program of its own (`standin-platform`, `standin-workers`, `standin-relay`) or within a test process:
//!
//! ```no_run
//! use standin::testing::Cluster;
//!
//! # async fn example() -> Result<(), standin::StandinError> {
//! let cluster = Cluster::start().await?;
//! println!("platform at {}, workers at {}", cluster.platform().url(), cluster.workers().url());
//! # Ok(())
//! # }
//! ```
//!
//! [`Platform`], [`Workers`] and [`Relay`] start from their options and return a [`RunningServer`]. Faults are set over
//! HTTP: see [`PlatformFaults`], [`WorkerFaultRequest`] and [`LinkMode`].

mod platform;
mod program;
mod relay;
mod request_error;
mod running_server;
mod standin_error;
pub mod testing;
mod workers;

pub use platform::{Platform, PlatformFaults, PlatformOptions, PlatformStats};
pub use program::run_program;
pub use relay::{LinkMode, LinkModeRequest, LinkOptions, LinkStatus, Relay, RelayOptions};
pub use running_server::RunningServer;
pub use standin_error::StandinError;
pub use workers::{
    LogEntry, LogEvent, LogPage, TaskAnswer, TaskPayload, WorkerFaultRequest, WorkerFaults, Workers, WorkersOptions,
};
