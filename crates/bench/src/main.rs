//! Command line of the measurements.

use std::{path::PathBuf, process::ExitCode, time::Instant};

use bench::{
    Comparison, Deployment, Driver, Metrics, Scenario,
    baseline::{BestFit, CountQuota, FirstFit, Fit},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1");
    Command::new("bench")
        .about("Measures policy and control cost")
        .subcommand_required(true)
        .subcommand(
            Command::new("policy")
                .about("Compares the policy with the baselines on the same arrivals")
                .arg(
                    Arg::new("deployment")
                        .long("deployment")
                        .required(true)
                        .value_parser(value_parser!(Deployment)),
                )
                .arg(seed.help("First seed"))
                .arg(
                    Arg::new("seeds")
                        .long("seeds")
                        .value_parser(value_parser!(u64).range(1..=100))
                        .default_value("1")
                        .help("Number of consecutive seeds"),
                )
                .arg(
                    Arg::new("out")
                        .long("out")
                        .value_parser(value_parser!(PathBuf))
                        .help("Directory of the plots"),
                )
                .arg(
                    Arg::new("check")
                        .long("check")
                        .action(ArgAction::SetTrue)
                        .help("Exit with status 1 if a check fails"),
                ),
        )
}

fn baseline<F: Fit>(scenario: &Scenario) -> Metrics {
    Driver::new(scenario, CountQuota::<F>::new(&scenario.topology)).run()
}

fn run_policy(args: &ArgMatches) -> ExitCode {
    let number = |name| args.get_one::<u64>(name).copied().unwrap_or(1);
    let Some(deployment) = args.get_one::<Deployment>("deployment").copied() else {
        return ExitCode::FAILURE;
    };
    let (first, seeds) = (number("seed"), number("seeds"));
    let mut comparison = Comparison::default();
    for seed in first..first + seeds {
        let start = Instant::now();
        let scenario = Scenario::new(deployment, seed);
        comparison.add(FirstFit::NAME, baseline::<FirstFit>(&scenario));
        comparison.add(BestFit::NAME, baseline::<BestFit>(&scenario));
        eprintln!(
            "seed {seed}: {} jobs, {:.1} s",
            scenario.arrivals.len(),
            start.elapsed().as_secs_f64()
        );
    }
    println!(
        "deployment {}, seeds {first} to {}",
        deployment.name(),
        first + seeds - 1
    );
    print!("{comparison}");
    let failures = comparison.failures(false);
    for failure in &failures {
        println!("check failed: {failure}");
    }
    if failures.is_empty() || !args.get_flag("check") {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn main() -> ExitCode {
    match command().get_matches().subcommand() {
        Some(("policy", args)) => run_policy(args),
        _ => ExitCode::FAILURE,
    }
}
