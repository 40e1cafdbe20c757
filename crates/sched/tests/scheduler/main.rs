//! Tests of the scheduler against an in-memory simulation; no test sleeps or reads a clock.

mod common;
mod defects;
mod explore;
mod faults;
mod grants;
mod lifecycle;
mod payloads;
mod schedules;
mod service;
mod stranded;
