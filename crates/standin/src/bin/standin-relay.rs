//! Stand-in program; see `--help`.

use standin::{Relay, RelayOptions, StandinError};

#[actix_web::main]
async fn main() -> Result<(), StandinError> {
    let options = RelayOptions::from_matches(&RelayOptions::command().get_matches());
    let mut running = Relay::start(&options)?;
    println!("listening on {}", running.address());
    running.wait().await
}
