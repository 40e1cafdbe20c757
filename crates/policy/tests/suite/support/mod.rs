//! Simulated cluster and independent checks for the tests of this crate.

pub mod ledger;
pub mod sim;

pub use ledger::{Fault, Ledger};
pub use sim::{Ended, Sim, config, is_fair, job, topology};
