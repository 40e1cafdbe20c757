//! Command line of the measurements.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::Instant,
};

use bench::{
    CapacityPoint, CapacityReport, Comparison, CountingAllocator, Deployment, Metrics, Scenario, Simulation,
    SlopePoint,
    baseline::{BestFit, CountQuota, FirstFit, Fit},
    small_config, write_plots,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use model::{Config, Resources, Topology};
use policy::{GuaranteedShare, Policy};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

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
        .subcommand(Command::new("slope").about("Measures the cost of a decision at 1,000 to 20,000 running tasks"))
        .subcommand(Command::new("capacity").about("Measures memory, time and bytes of control at the design scale"))
}

fn baseline<F: Fit>(scenario: &Scenario) -> Metrics {
    Simulation::new(scenario, CountQuota::<F>::new(&scenario.topology)).run()
}

/// Name of the production policy in reports.
const PRODUCTION_POLICY: &str = "ours";

fn production_policy(scenario: &Scenario) -> Metrics {
    Simulation::new(scenario, GuaranteedShare::new(&scenario.topology)).run()
}

/// Name of a policy and the function that runs it.
type Run = (&'static str, fn(&Scenario) -> Metrics);

/// Runs each policy on its own thread; only the scenario is shared.
fn compare(scenario: &Scenario) -> Vec<(&'static str, Metrics)> {
    let runs: [Run; 3] = [
        (PRODUCTION_POLICY, production_policy),
        (FirstFit::NAME, baseline::<FirstFit>),
        (BestFit::NAME, baseline::<BestFit>),
    ];
    std::thread::scope(|scope| {
        let threads = runs.map(|(name, run)| (name, scope.spawn(move || run(scenario))));
        threads
            .map(|(name, thread)| (name, thread.join().expect("a run does not panic")))
            .into()
    })
}

fn run_policy(args: &ArgMatches) -> ExitCode {
    let number = |name| args.get_one::<u64>(name).copied().unwrap_or(1);
    let Some(deployment) = args.get_one::<Deployment>("deployment").copied() else {
        return ExitCode::FAILURE;
    };
    let (first, seeds) = (number("seed"), number("seeds"));
    let mut comparison = Comparison {
        first_seed: first,
        ..Comparison::default()
    };
    for seed in first..first + seeds {
        let start = Instant::now();
        let scenario = Scenario::new(deployment, seed);
        for (name, metrics) in compare(&scenario) {
            comparison.add(name, metrics);
        }
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
    if let Some(directory) = args.get_one::<PathBuf>("out")
        && let Err(error) = plot(directory, deployment, first, &comparison)
    {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let failures = comparison.failures(true);
    for failure in &failures {
        println!("check failed: {failure}");
    }
    if failures.is_empty() || !args.get_flag("check") {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Writes the plots of the first seed.
fn plot(
    directory: &Path,
    deployment: Deployment,
    seed: u64,
    comparison: &Comparison,
) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(directory)?;
    let first = |(name, seeds): &'_ (&'static str, Vec<Metrics>)| Some((*name, seeds.first()?.clone()));
    let policies: Vec<_> = comparison.policies.iter().filter_map(first).collect();
    let borrowed: Vec<_> = policies.iter().map(|(name, metrics)| (*name, metrics)).collect();
    write_plots(directory, &format!("{}-{seed}", deployment.name()), &borrowed)?;
    Ok(())
}

/// Prints the cost of a turn at each size, and its growth beside that of the logarithm of the size.
fn slope<P: Policy>(name: &str, new: impl Fn(&Topology) -> P) {
    let letter = Deployment::Letter;
    let fixed_topology = |_| (letter.topology(), letter.config(), 0);
    let full = |tasks: u32| {
        // One task fills one accelerator, so this topology is full; 2,000 more jobs wait.
        let capacity = Resources::new(24, 24, 96_000, 192 * 1024);
        let topology = Topology::uniform(4, tasks as usize / 24, 8, capacity);
        let config = small_config(&topology, 1);
        (topology, config, 2_000)
    };
    println!("{name}, letter topology, nothing waits");
    slope_table(&new, fixed_topology);
    println!("{name}, full topology that grows with the tasks, 2,000 jobs wait");
    slope_table(&new, full);
}

fn slope_table<P: Policy>(new: impl Fn(&Topology) -> P, setting: impl Fn(u32) -> (Topology, Config, u32)) {
    println!(
        "{:>8}{:>9}{:>14}{:>14}{:>12}{:>12}",
        "tasks", "waiting", "us per turn", "p99 us", "growth", "log growth"
    );
    let mut first: Option<SlopePoint> = None;
    // Multiples of the 24 accelerators of a worker, so that a full topology runs exactly this many.
    for tasks in [1_008, 5_016, 10_008, 20_016] {
        let (topology, config, waiting) = setting(tasks);
        // Interference by other processes only slows a run down, so the fastest of several runs is used.
        let runs =
            (1..=5).map(|seed| SlopePoint::measure(new(&topology), (&topology, &config), (tasks, waiting), seed));
        let Some(point) = runs.min_by_key(|point| point.per_turn) else {
            continue;
        };
        let base = *first.get_or_insert(point);
        let micros = |duration: std::time::Duration| duration.as_secs_f64() * 1e6;
        println!(
            "{:>8}{:>9}{:>14.2}{:>14.2}{:>12.3}{:>12.3}",
            point.tasks,
            point.waiting,
            micros(point.per_turn),
            micros(point.per_turn_p99),
            micros(point.per_turn) / micros(base.per_turn),
            f64::from(point.tasks).ln() / f64::from(base.tasks).ln(),
        );
    }
}

/// Measures one data centre of four at eleven sizes.
fn capacity() -> CapacityReport {
    let new = |topology: &Topology| GuaranteedShare::new(topology).serving([topology.data_centres[0].id.clone()]);
    let sizes = [60, 120, 240]
        .into_iter()
        .flat_map(|workers| [300, 600, 1_200].map(|tasks| (workers, tasks)));
    let full = [(240, 2_500), (240, 5_000)];
    let points = sizes
        .chain(full)
        .map(|(workers, tasks)| CapacityPoint::measure(workers, tasks, new));
    CapacityReport::new(points.collect())
}

fn main() -> ExitCode {
    match command().get_matches().subcommand() {
        Some(("policy", args)) => run_policy(args),
        Some(("slope", _)) => {
            slope(PRODUCTION_POLICY, GuaranteedShare::new);
            slope(FirstFit::NAME, CountQuota::<FirstFit>::new);
            slope(BestFit::NAME, CountQuota::<BestFit>::new);
            ExitCode::SUCCESS
        }
        Some(("capacity", _)) => {
            print!("{}", capacity());
            ExitCode::SUCCESS
        }
        _ => ExitCode::FAILURE,
    }
}
