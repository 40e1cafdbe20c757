//! Load tool: submits a realistic mix of jobs over HTTP and checks every answer.
//!
//! [`Mix`] draws jobs from a seed, [`Caller`] submits one job until its outcome is final, [`Tally`] keeps the figures,
//! and [`Executions`] counts in the workers' logs how often each job was started.
//!
//! ```
//! let jobs: Vec<_> = load::Mix::new("run1", 7, vec!["clyde-koi".parse()?]).take(100).collect();
//! assert!(jobs.iter().any(|planned| planned.spec.class == model::Class::Urgent));
//! # Ok::<(), model::InvalidId>(())
//! ```

mod args;
mod balancer;
mod caller;
mod executions;
mod kind;
mod load_error;
mod mix;
mod operator;
mod report;
mod run;
mod tally;

pub use args::command;
pub use balancer::Balancer;
pub use caller::{Call, Caller, Ending};
pub use executions::{Executions, LogEntry};
pub use kind::Kind;
pub use load_error::LoadError;
pub use mix::{Mix, Planned};
pub use operator::Operator;
pub use report::Report;
pub use run::{Options, run};
pub use tally::Tally;
