//! One data centre's scheduler as a state machine: [`Input`]s in, [`Action`]s out.
//!
//! The state machine does no I/O and reads no clock, so that tests can inject every fault at every step. A driver feeds
//! it elections, configurations, jobs and replies, and executes the actions it returns.
//!
//! ```
//! use model::{Epoch, Resources, Topology};
//! use policy::GuaranteedShare;
//! use sched::{Action, Input, Scheduler, Settings};
//!
//! let topology = Topology::uniform(1, 2, 8, Resources::new(8, 8, 32_000, 64_000));
//! let workers = topology.workers().map(|worker| worker.id.clone()).collect();
//! let policy = GuaranteedShare::new(&topology);
//! let mut scheduler = Scheduler::new(Settings::default(), policy, "a".parse()?, "dc1".parse()?, workers);
//!
//! let mut actions = Vec::new();
//! scheduler.handle(0, 0, Input::Elected { epoch: Epoch(1) }, &mut actions);
//! let fences = actions.iter().filter(|action| matches!(action, Action::Fence { .. }));
//! assert_eq!(fences.count(), 2);
//! # Ok::<(), model::InvalidId>(())
//! ```
//!
//! - Inputs and actions: [`Input`], [`WorkerReply`], [`LostCommand`], [`WriteOutcome`], [`Action`], [`WriteId`]
//! - State machine: [`Scheduler`], [`Settings`]
//!
//! `docs/notes/sched.md` describes the states of an attempt; `docs/FAULTS.md` lists the faults that tests cover.

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
mod stranded;
mod worker_state;
mod workers;
mod write_id;
mod writes;

pub use action::Action;
pub use input::{Input, LostCommand, WorkerReply, WriteOutcome};
pub use scheduler::Scheduler;
pub use settings::Settings;
pub use write_id::WriteId;
