//! Program of the load tool; see `--help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = load::Options::from(&load::command().get_matches());
    match actix_rt::System::new().block_on(load::run(&options)) {
        Ok(report) => {
            println!("{report}");
            if report.passed() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("galenaspool-load: {error}");
            ExitCode::from(2)
        }
    }
}
