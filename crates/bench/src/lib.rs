//! Measurements of policy and control cost.

pub mod baseline;

mod arrival;
mod capacity_point;
mod capacity_report;
mod comparison;
mod counting_allocator;
mod deployment;
mod figure;
mod incident;
mod job_kind;
mod layout;
mod linear_fit;
mod metrics;
mod plot;
mod sample;
mod scenario;
mod scheduler_harness;
mod simulation;
mod slope;
mod small_config;
mod violations;
mod workload;

pub use arrival::Arrival;
pub use capacity_point::CapacityPoint;
pub use capacity_report::CapacityReport;
pub use comparison::Comparison;
pub use counting_allocator::CountingAllocator;
pub use deployment::{Deployment, UnknownDeployment};
pub use incident::Incident;
pub use job_kind::JobKind;
pub use linear_fit::LinearFit;
pub use metrics::Metrics;
pub use plot::{PlotError, write_plots};
pub use sample::Sample;
pub use scenario::Scenario;
pub use scheduler_harness::SchedulerHarness;
pub use simulation::Simulation;
pub use slope::SlopePoint;
pub use small_config::small_config;
pub use violations::Violations;
pub use workload::Workload;
