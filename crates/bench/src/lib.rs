//! Measurements of policy and control cost.

pub mod baseline;

mod arrival;
mod comparison;
mod deployment;
mod driver;
mod figure;
mod incident;
mod job_kind;
mod layout;
mod metrics;
mod plot;
mod sample;
mod scenario;
mod slope;
mod violations;
mod workload;

pub use arrival::Arrival;
pub use comparison::Comparison;
pub use deployment::{Deployment, UnknownDeployment};
pub use driver::Driver;
pub use incident::Incident;
pub use job_kind::JobKind;
pub use metrics::Metrics;
pub use plot::{PlotError, write_plots};
pub use sample::Sample;
pub use scenario::Scenario;
pub use slope::SlopePoint;
pub use violations::Violations;
pub use workload::Workload;
