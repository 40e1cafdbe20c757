//! Election of each data centre's scheduling lease, and the driver that executes the scheduler's decisions.

mod active_epoch;
mod commands;
mod driver;
mod driver_epoch;
mod driver_grants;
mod driver_messages;
mod drivers;
mod elector;
mod final_outcomes;
mod grant_registry;
mod grant_yield;
mod job_write;
mod orphans;
mod plan_check;
mod plan_homes;
mod scan;
mod schedulers;
mod topology;
mod usage;

pub(crate) use driver::Driver;
pub(crate) use driver_messages::{Await, CancelJob, Demote, Elected, HandOver, Submit};
pub(crate) use drivers::Drivers;
pub(crate) use elector::{Elector, Release};
pub(crate) use job_write::{JobWrite, open_key};
pub(crate) use plan_check::{ActivePolicy, check_plan, new_policy};
pub(crate) use plan_homes::PlanHomes;
pub(crate) use schedulers::{Schedulers, StopScheduling};
pub(crate) use topology::{fits_empty, topology_of};
