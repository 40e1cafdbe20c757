//! Platform: table, object store and list of instances.

mod bucket;
mod platform_faults;
mod platform_options;
mod platform_server;
mod platform_state;
mod platform_stats;

pub use platform_faults::PlatformFaults;
pub use platform_options::PlatformOptions;
pub use platform_server::Platform;
pub use platform_stats::PlatformStats;
