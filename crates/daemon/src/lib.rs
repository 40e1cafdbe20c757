//! Entry daemon of galenaspool: reads its settings, serves until a signal, and stops gracefully.
//!
//! [`run`] is the whole program. It ends with an error as soon as a part of the process has ended.

mod daemon_error;
mod huge_pages;
mod machine_limits;
mod node_settings;
mod run;
mod signals;

pub use run::run;
