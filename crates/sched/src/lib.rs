//! One data centre's scheduler as a state machine: [`Input`]s in, [`Action`]s out.
//!
//! The machine does no I/O and reads no clock, so that tests can inject every fault at every step.

mod action;
mod admission;
mod attempts;
mod ending;
mod grants;
mod input;
mod job;
mod recovery;
mod replies;
mod run;
mod scheduler;
mod service;
mod settings;
mod worker_state;
mod workers;
mod write_id;
mod writes;

pub use action::Action;
pub use input::{Input, LostCommand, WorkerReply, WriteOutcome};
pub use scheduler::Scheduler;
pub use settings::Settings;
pub use write_id::WriteId;
