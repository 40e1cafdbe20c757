//! Stand-in program; see `--help`.

use standin::{StandinError, Workers, WorkersOptions};

#[actix_web::main]
async fn main() -> Result<(), StandinError> {
    let options = WorkersOptions::from_matches(&WorkersOptions::command().get_matches());
    let mut running = Workers::start(&options)?;
    println!("listening on {}", running.address());
    running.wait().await
}
