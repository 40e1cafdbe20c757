//! Election of each data centre's scheduling lease, and the driver that carries out what the scheduler decides.

mod active;
mod commands;
mod driver;
mod driver_epoch;
mod driver_grants;
mod driver_messages;
mod drivers;
mod elector;
mod finals;
mod grant_book;
mod grant_yield;
mod orphans;
mod outbox;
mod plan_check;
mod plan_homes;
mod scan;
mod schedulers;
mod topology;
mod usage;

pub(crate) use driver::Driver;
pub(crate) use driver_messages::{Await, CancelJob, Demote, Elected, Stepping, Submit};
pub(crate) use drivers::Drivers;
pub(crate) use elector::{Elector, Release};
pub(crate) use outbox::{JobWrite, open_key};
pub(crate) use plan_check::{ActivePolicy, check_plan, new_policy};
pub(crate) use plan_homes::PlanHomes;
pub(crate) use schedulers::{Schedulers, StopScheduling};
pub(crate) use topology::{fits_empty, topology_of};
