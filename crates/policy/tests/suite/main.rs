//! Tests of the scheduling policy.

mod checks;
mod guarantees;
mod properties;
mod support;
