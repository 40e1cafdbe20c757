//! Simulated cluster and independent checks for the tests of this crate.

pub mod ledger;
pub mod sim;

pub use ledger::{Ledger, Violation};
pub use sim::{FinalState, Simulation, config, is_fair, job, topology};
