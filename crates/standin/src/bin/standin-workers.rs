//! Stand-in for many workers in one process; see `--help`.

use standin::{StandinError, Workers, WorkersOptions, run_program};

#[actix_web::main]
async fn main() -> Result<(), StandinError> {
    let options = WorkersOptions::from_matches(&WorkersOptions::command().get_matches());
    run_program(|| Workers::start(&options)).await
}
