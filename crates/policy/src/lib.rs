//! Scheduling policy: guarantee plan, placement, reclaim, fair share, admission and quarantine.
//!
//! Everything here is pure: time enters as an argument in milliseconds, and results leave as [`Decision`]s.

mod decision;
mod event;
mod keys;
mod plan_error;
mod policy_trait;
mod stats;

pub use decision::{Decision, FailReason, Preemption};
pub use event::Event;
pub use keys::{JobKey, WorkerKey};
pub use plan_error::PlanError;
pub use policy_trait::Policy;
pub use stats::Stats;
