//! Stand-in program; see `--help`.

use standin::{Platform, PlatformOptions, StandinError};

#[actix_web::main]
async fn main() -> Result<(), StandinError> {
    let options = PlatformOptions::from_matches(&PlatformOptions::command().get_matches());
    let mut running = Platform::start(&options)?;
    println!("listening on {}", running.address());
    running.wait().await
}
