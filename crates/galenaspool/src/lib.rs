//! Scheduler for multi-accelerator jobs of organisations that hold guaranteed shares of accelerators.
//!
//! This crate is the facade: it re-exports the parts that a program needs to embed an instance or to talk to one.
//!
//! ```no_run
//! use galenaspool::conf::Settings;
//! use galenaspool::{Entry, Listeners};
//!
//! # fn example(settings: Settings) -> Result<(), galenaspool::EntryError> {
//! let listeners = Listeners::bind(&settings)?;
//! # let _ = listeners;
//! # Ok(())
//! # }
//! ```
//!
//! - [`Entry`]: an instance within a process; `galenaspoold` is a thin program around it
//! - [`model`]: jobs, shapes, configuration, answers
//! - [`policy`] and [`sched`]: the policy and the scheduler's state machine, for embedding without I/O
//! - [`store`] and [`net`]: clients of the platform, of workers and of other instances
//! - [`conf`], [`trace`], [`timer`]: settings, timeline, timer service

pub use entry::{Entry, EntryError, JobReply, JobStatus, Listeners, Problem};
pub use {conf, entry, model, net, policy, sched, store, timer, trace};
