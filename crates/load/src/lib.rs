//! Load tool: submits a realistic mix of jobs over HTTP and checks every answer.
//!
//! [`Mix`] draws jobs from a seed, [`Caller`] submits one job until its outcome is final, [`Tally`] keeps statistics,
//! and [`Executions`] counts the starts of each job in the execution logs of the workers.
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
mod job_kind;
mod load_error;
mod mix;
mod operator;
mod report;
mod run;
mod tally;

pub use args::command;
pub use balancer::Balancer;
pub use caller::{Call, CallOutcome, Caller};
pub use executions::{Executions, LogEntry};
pub use job_kind::JobKind;
pub use load_error::LoadError;
pub use mix::{Mix, PlannedJob};
pub use operator::OperatorClient;
pub use report::Report;
pub use run::{Options, run};
pub use tally::Tally;
