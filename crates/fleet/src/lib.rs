//! Runs a whole deployment as processes on loopback: stand-ins, relay and entry instances.
//!
//! [`Fleet`] starts the processes, writes their settings, injects faults (kill, pause, cut links, faults of the
//! stand-ins) and kills all processes that it started when it is dropped. The binaries must have been built with
//! `cargo build --workspace --bins`.

mod binary;
mod crowd;
mod demo;
mod faults;
mod fleet_error;
mod fleet_process;
mod instance;
mod layout;
mod observe;
mod reserved_ports;
mod settings_file;
mod start;

pub use crowd::{BODY_BYTES, Crowd};
pub use demo::run_demo;
pub use fleet_error::FleetError;
pub use fleet_process::FleetProcess;
pub use instance::Instance;
pub use layout::Layout;
pub use reserved_ports::ReservedPorts;
pub use start::Fleet;
