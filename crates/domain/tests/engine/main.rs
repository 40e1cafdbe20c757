//! The scheduler against fake workers and a fake store: every fault without a network.

mod faults;
mod jobs;
mod preemption;
mod schedules;
mod special;
mod takeover;
mod world;
