//! TCP relay with injectable faults; see `--help`.

use standin::{Relay, RelayOptions, StandinError, run_program};

#[actix_web::main]
async fn main() -> Result<(), StandinError> {
    let options = RelayOptions::from_matches(&RelayOptions::command().get_matches());
    run_program(|| Relay::start(&options)).await
}
