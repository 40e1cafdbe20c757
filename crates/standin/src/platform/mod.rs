//! Stand-in for the platform: table, object store and list of instances.

mod platform_faults;
mod platform_options;
mod platform_server;
mod platform_state;
mod platform_stats;
mod token_bucket;

pub use platform_faults::PlatformFaults;
pub use platform_options::PlatformOptions;
pub use platform_server::Platform;
pub use platform_stats::PlatformStats;
