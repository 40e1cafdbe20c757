//! In-memory simulation around the scheduler: fake workers, table, links and clock into which tests inject faults.

mod checks;
mod command;
mod fault;
mod first_fit;
mod scenario;
mod simulation;
mod table;
mod test_policy;
mod worker;

pub use checks::check;
pub use command::{Command, Defect};
pub use fault::{ArmedFault, Fault, Step};
pub use first_fit::FirstFit;
pub use scenario::{scenario, scenario_with};
pub use simulation::{FirstFitSimulation, Simulation};
pub use table::Table;
pub use test_policy::TestPolicy;
pub use worker::FakeWorker;

use model::{Adjacency, Config, DataCentreStatus, JobSpec, Priority, Shape};

/// Creates a job of `parts` parts that runs for `run_ms`.
pub fn job(request: &str, idempotent: bool, parts: u16, run_ms: u64) -> JobSpec {
    JobSpec::new("org".parse().unwrap(), request.parse().unwrap())
        .idempotent(idempotent)
        .shape(Shape::new(parts, 2, Adjacency::DataCentre))
        .payload(run_ms.into())
}

/// Creates a configuration; `reclaim` makes the first-fit policy preempt every preemptible job once.
pub fn config(version: u64, in_service: bool, reclaim: bool) -> Config {
    let dc = |id: &str, in_service| DataCentreStatus {
        id: id.parse().unwrap(),
        in_service,
    };
    let boost = Priority {
        organisation: "org".parse().unwrap(),
        class: model::Class::Urgent,
        boost: 9,
    };
    Config {
        version: model::ConfigVersion(version),
        organisations: vec![model::Organisation::new("org".parse().unwrap())],
        data_centres: vec![dc("dc1", in_service), dc("dc2", true)],
        priorities: reclaim.then_some(boost).into_iter().collect(),
    }
}
