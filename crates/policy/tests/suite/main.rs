//! Tests of the scheduling policy.

mod admission;
mod checks;
mod guarantees;
mod outages;
mod properties;
mod sharing;
mod snapshots;
mod support;
