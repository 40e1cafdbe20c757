//! Demo: a whole deployment on loopback, a mix of jobs, and a data centre that is taken out of service and put back.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    let matches = Command::new("galenaspool-demo")
        .about("Runs a deployment on loopback with a mix of jobs while a data centre leaves and returns")
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_parser(["lochside", "lanka"])
                .default_value("lochside")
                .help("Deployment whose sheet is applied"),
        )
        .arg(number("seed", "1", "Seed of the mix"))
        .arg(number("seconds", "30", "How long jobs arrive"))
        .arg(number("rate", "40", "Jobs that arrive in a second"))
        .arg(
            Arg::new("out")
                .long("out")
                .default_value("out/demo")
                .help("Folder for the timeline"),
        )
        .get_matches();
    let sheet = match matches.get_one::<String>("deployment").map(String::as_str) {
        Some("lanka") => include_str!("../../../examples/sheets/lanka.csv"),
        _ => include_str!("../../../examples/sheets/lochside.csv"),
    };
    let value = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let out = PathBuf::from(matches.get_one::<String>("out").map_or("out/demo", String::as_str));
    let run = fleet::run_demo(sheet, value("seed"), value("seconds"), value("rate"), &out);
    match actix_rt::System::new().block_on(run) {
        Ok(report) => {
            println!("{report}");
            println!(
                "timeline: {} and {}",
                out.join("timeline.txt").display(),
                out.join("timeline.svg").display()
            );
            if report.passed() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("galenaspool-demo: {error}");
            ExitCode::from(2)
        }
    }
}
