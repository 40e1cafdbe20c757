//! Entry daemon of galenaspool: the actors of one instance and its HTTP interface.
//!
//! ```no_run
//! use conf::Settings;
//! use entry::{Entry, Listeners};
//! use supervise::Supervisor;
//!
//! # fn example(settings: Settings) -> Result<(), entry::EntryError> {
//! actix::System::new().block_on(async {
//!     let listeners = Listeners::bind(&settings)?;
//!     let entry = Entry::start(settings, listeners, &Supervisor::default())?;
//!     entry.stop().await;
//!     Ok(())
//! })
//! # }
//! ```
//!
//! - [`Entry`], [`Listeners`]: start and planned stop of an instance
//! - [`ApiError`], [`Problem`]: errors of the HTTP interface
//! - [`JobReply`], [`JobStatus`], [`JobPage`], [`Audit`]: replies about jobs
//! - [`ConfigStatus`], [`ServiceChange`], [`PeerView`]: replies to operators
//!
//! Each part of the state is owned by one actor: the configuration actor, the membership actor, an elector and a driver
//! for each data centre, and the actor for urgent jobs. They publish state to other actors on watch channels.

mod api_error;
mod clock;
mod config;
mod context;
mod entry_error;
mod entry_node;
mod http;
mod intake_limits;
mod jobs;
mod listeners;
mod members;
mod metrics;
mod problem;
mod published_state;
mod scheduling;
mod timeline;
mod urgent;

pub use api_error::ApiError;
pub use config::{ConfigStatus, DataCentreConfig, InstanceConfig, OutProgress, ServiceChange, ServiceState};
pub use entry_error::EntryError;
pub use entry_node::Entry;
pub use intake_limits::intake_limits;
pub use jobs::{Audit, JobPage, JobReply, JobStatus};
pub use listeners::Listeners;
pub use members::{PeerStatus, PeerView};
pub use problem::Problem;

/// Result of a handler of the HTTP interface.
pub(crate) type HandlerResult = Result<actix_web::HttpResponse, ApiError>;
