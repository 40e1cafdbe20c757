//! Scheduling policy: guarantee plan, placement, reclaim, fair share, admission and quarantine.
//!
//! The crate does no I/O and reads no clock: time is passed as an argument in milliseconds, and results are returned as
//! [`Decision`]s. The scheduler depends on the [`Policy`] trait; [`GuaranteedShare`] is the policy used in production,
//! and [`Plan`] the assignment of guaranteed shapes to workers.

mod accounting;
mod admit;
mod amount;
mod apply_plan;
mod arrange;
mod capacity_index;
mod cluster;
mod could_run;
mod decision;
mod event;
mod events;
mod guaranteed_share;
mod health;
mod job;
mod keys;
mod org;
mod passes;
mod plan;
mod plan_error;
mod policy_trait;
mod preempt_for_wide;
mod reclaim;
mod replan;
mod reservation;
mod reserve;
mod run_time_correction;
mod share;
mod stats;
mod urgent_load;
mod worker;

pub use decision::{Decision, FailReason, Preemption};
pub use event::Event;
pub use guaranteed_share::GuaranteedShare;
pub use keys::{JobKey, WorkerKey};
pub use plan::{Plan, Slice};
pub use plan_error::PlanError;
pub use policy_trait::Policy;
pub use stats::Stats;
