//! Measurements of policy and control cost.

pub mod baseline;

mod arrival;
mod capacity_point;
mod capacity_report;
mod comparison;
mod counting;
mod deployment;
mod driver;
mod figure;
mod incident;
mod job_kind;
mod layout;
mod linear_fit;
mod metrics;
mod plant;
mod plot;
mod sample;
mod scenario;
mod slope;
mod small_config;
mod violations;
mod workload;

pub use arrival::Arrival;
pub use capacity_point::CapacityPoint;
pub use capacity_report::CapacityReport;
pub use comparison::Comparison;
pub use counting::Counting;
pub use deployment::{Deployment, UnknownDeployment};
pub use driver::Driver;
pub use incident::Incident;
pub use job_kind::JobKind;
pub use linear_fit::LinearFit;
pub use metrics::Metrics;
pub use plant::Plant;
pub use plot::{PlotError, write_plots};
pub use sample::Sample;
pub use scenario::Scenario;
pub use slope::SlopePoint;
pub use small_config::small_config;
pub use violations::Violations;
pub use workload::Workload;
