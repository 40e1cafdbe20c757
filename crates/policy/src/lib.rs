//! Scheduling policy: guarantee plan, placement, reclaim, fair share, admission and quarantine.
//!
//! Everything here is pure: time enters as an argument in milliseconds, and results leave as [`Decision`]s. The
//! scheduler codes against [`Policy`]; [`GuaranteedShare`] is the policy in production, and [`Plan`] the pure function
//! that assigns guaranteed shapes to workers.

mod accounts;
mod admit;
mod amount;
mod arrange;
mod cluster;
mod correction;
mod decision;
mod enter_plan;
mod event;
mod events;
mod guaranteed_share;
mod health;
mod index;
mod job;
mod keys;
mod make_room;
mod org;
mod passes;
mod plan;
mod plan_error;
mod policy_trait;
mod reclaim;
mod replan;
mod reservation;
mod reserve;
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
