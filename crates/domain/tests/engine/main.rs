//! The scheduler against fake workers and a fake store: every fault without a network.

mod faults;
mod jobs;
mod schedules;
mod takeover;
mod world;
