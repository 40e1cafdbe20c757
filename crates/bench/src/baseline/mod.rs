//! Baselines: first-fit and best-fit, with guarantees and quotas as accelerator counts.
//!
//! They respect gangs, adjacency, data centres out of service, quotas, quarantine and the limit on failures, so that
//! a comparison shows only the effect of placement and of guarantees by shape.

mod account;
mod best_fit;
mod count_quota;
mod first_fit;
mod fit;
mod health;
mod job;
mod node;
mod nodes;
mod pass;
mod queue;

pub use best_fit::BestFit;
pub use count_quota::CountQuota;
pub use first_fit::FirstFit;
pub use fit::Fit;
