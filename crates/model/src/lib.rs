//! Types shared by all galenaspool crates: ids, shapes, requests, configuration and records.
//!
//! The crate does no I/O and reads no clock. Durations and times are in milliseconds and have the suffix `_ms`.
//!
//! ```
//! use model::{Adjacency, Class, JobSpec, Shape};
//!
//! let job = JobSpec::new("clyde-koi".parse()?, "quote-17".parse()?)
//!     .class(Class::Urgent)
//!     .idempotent(true)
//!     .shape(Shape::new(1, 1, Adjacency::Worker));
//! assert_eq!(job.shape.accelerators(), 1);
//! # Ok::<(), model::InvalidId>(())
//! ```
//!
//! - Ids: [`OrganisationId`], [`RequestId`], [`JobId`], [`TaskId`], [`LeaseId`], [`WorkerId`], [`RackId`],
//!   [`DataCentreId`], [`InstanceId`], [`Epoch`], [`ConfigVersion`]
//! - Requests and answers: [`JobSpec`], [`Shape`], [`Class`], [`JobState`], [`Outcome`], [`Answer`], [`Refusal`]
//! - Durable records: [`JobRow`], [`Attempt`], [`Placement`], [`Charge`], [`SchedulingLease`]
//! - Hardware: [`Topology`], [`DataCentre`], [`Rack`], [`Worker`], [`Resources`]
//! - Configuration: [`Config`], [`Organisation`], [`Guarantee`], [`DataCentreStatus`], [`Priority`]
//! - Worker protocol: [`LeaseRequest`], [`LeaseKind`], [`StartRequest`], [`RenewRequest`], [`WorkerReport`], [`Inventory`],
//!   [`TaskReport`], [`WorkerError`]

mod adjacency;
mod answer;
mod attempt;
mod charge;
mod class;
mod config;
mod config_version;
mod data_centre;
mod data_centre_status;
mod epoch;
mod guarantee;
mod invalid_id;
mod inventory;
mod job_id;
mod job_row;
mod job_spec;
mod job_state;
mod lease_id;
mod lease_info;
mod lease_kind;
mod lease_request;
mod organisation;
mod outcome;
mod placement;
mod priority;
mod rack;
mod refusal;
mod renew_request;
mod resources;
mod scheduling_lease;
mod shape;
mod start_request;
mod task_id;
mod task_report;
mod task_state;
mod text_id;
mod topology;
mod worker;
mod worker_error;
mod worker_report;

pub use adjacency::Adjacency;
pub use answer::{Answer, AnswerError};
pub use attempt::{Attempt, AttemptState};
pub use charge::Charge;
pub use class::Class;
pub use config::{Config, ConfigError};
pub use config_version::ConfigVersion;
pub use data_centre::DataCentre;
pub use data_centre_status::DataCentreStatus;
pub use epoch::Epoch;
pub use guarantee::Guarantee;
pub use invalid_id::InvalidId;
pub use inventory::Inventory;
pub use job_id::JobId;
pub use job_row::JobRow;
pub use job_spec::JobSpec;
pub use job_state::JobState;
pub use lease_id::LeaseId;
pub use lease_info::LeaseInfo;
pub use lease_kind::LeaseKind;
pub use lease_request::LeaseRequest;
pub use organisation::Organisation;
pub use outcome::Outcome;
pub use placement::{PartPlacement, Placement};
pub use priority::Priority;
pub use rack::Rack;
pub use refusal::Refusal;
pub use renew_request::RenewRequest;
pub use resources::Resources;
pub use scheduling_lease::SchedulingLease;
pub use shape::{Shape, ShapeError};
pub use start_request::StartRequest;
pub use task_id::TaskId;
pub use task_report::TaskReport;
pub use task_state::TaskState;
pub use text_id::{DataCentreId, InstanceId, OrganisationId, RackId, RequestId, WorkerId};
pub use topology::Topology;
pub use worker::Worker;
pub use worker_error::WorkerError;
pub use worker_report::WorkerReport;
