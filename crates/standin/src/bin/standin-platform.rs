//! Stand-in for the platform; see `--help`.

use standin::{Platform, PlatformOptions, StandinError, run_program};

#[actix_web::main]
async fn main() -> Result<(), StandinError> {
    let options = PlatformOptions::from_matches(&PlatformOptions::command().get_matches());
    run_program(|| Platform::start(&options)).await
}
