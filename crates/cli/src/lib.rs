//! Command line of galenaspool: jobs, the operators' sheet, data centres, audit and timeline.
//!
//! The program talks HTTP to any entry instance. [`run`] executes a parsed command and returns the exit code that
//! [`ExitStatus`] lists.
//!
//! ```
//! let matches = cli::command().try_get_matches_from(["galenaspool", "config", "status"])?;
//! assert_eq!(matches.subcommand_name(), Some("config"));
//! # Ok::<(), clap::Error>(())
//! ```

mod args;
mod args_job;
mod audit;
mod client;
mod command_error;
mod domain_commands;
mod exit_status;
mod format;
mod job_commands;
mod operator_commands;
mod output;
mod problem;
mod run;
mod sheet_commands;
mod timeline_command;

pub use args::command;
pub use audit::{Audit, AuditedJob};
pub use client::Client;
pub use command_error::CommandError;
pub use domain_commands::job_text;
pub use exit_status::ExitStatus;
pub use format::Format;
pub use problem::Problem;
pub use run::run;
