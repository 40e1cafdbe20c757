use clap::{Arg, ArgAction, Command, value_parser};

use crate::args_job;

const EXAMPLES: &str = "\
Examples:
  galenaspool submit --organisation clyde-koi --request quote-17 --urgent --idempotent --wait 2s
  galenaspool submit --file job.json --wait 10m
  galenaspool sheet check lochside.csv
  galenaspool sheet apply lochside.csv
  galenaspool data-centre out dc2
  galenaspool timeline --svg timeline.svg

Exit codes: 0 done, 1 job failed or cancelled, 2 not valid, 3 refused and did not run, 4 outcome not known yet,
5 no instance answers, 6 conflict, 7 still in progress, 8 not found.";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("galenaspool")
        .version(clap::crate_version!())
        .about("Submits jobs to galenaspool and operates it")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("server")
                .long("server")
                .env("GALENASPOOL_SERVERS")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .default_value("http://127.0.0.1:7001")
                .global(true)
                .help("Entry instances to talk to, tried in this order"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .short('o')
                .value_parser(["table", "json"])
                .default_value("table")
                .global(true)
                .help("Format of what is printed"),
        )
        .subcommand(args_job::submit())
        .subcommand(args_job::by_id(
            "status",
            "Prints the state of a job, and its outcome if it ended",
        ))
        .subcommand(args_job::by_id(
            "answer",
            "Prints the whole answer of a job and nothing else",
        ))
        .subcommand(args_job::by_id("cancel", "Cancels a job"))
        .subcommand(args_job::list())
        .subcommand(args_job::by_id(
            "audit",
            "Follows an invoice line from request to the leases that ran it",
        ))
        .subcommand(sheet())
        .subcommand(data_centre())
        .subcommand(config())
        .subcommand(
            Command::new("explain")
                .about("Explains a job of a scheduling domain: state, runs, and why it waits")
                .after_help(
                    "Addresses of --server are those of readiness and metrics. The holder of the lease knows most.",
                )
                .arg(Arg::new("job").required(true).help("Job id, 16 hexadecimal digits")),
        )
        .subcommand(
            Command::new("instances").about(
                "Shows what each addressed instance of a scheduling domain believes: holder, configuration, store",
            ),
        )
        .subcommand(Command::new("peers").about("Lists the entry instances that the addressed one knows"))
        .subcommand(timeline())
        .subcommand(
            Command::new("completions").about("Prints shell completions").arg(
                Arg::new("shell")
                    .required(true)
                    .value_parser(value_parser!(clap_complete::Shell))
                    .help("Shell"),
            ),
        )
}

fn sheet() -> Command {
    let file = || {
        Arg::new("file")
            .required(true)
            .help("Sheet in CSV; see docs/operations.md")
    };
    Command::new("sheet")
        .about("Checks, compares and applies the operators' sheet")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Reports every fault of a sheet; talks to no instance")
                .arg(file()),
        )
        .subcommand(
            Command::new("diff")
                .about("Lists what a sheet would change")
                .arg(file()),
        )
        .subcommand(
            Command::new("apply")
                .about("Applies a sheet if nobody changed the configuration in between")
                .arg(file())
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_parser(value_parser!(u64))
                        .help("Version that the sheet is based on; default is the version in force"),
                ),
        )
}

fn data_centre() -> Command {
    let name = || Arg::new("data_centre").required(true).help("Data centre");
    Command::new("data-centre")
        .about("Takes a data centre out of service or back in")
        .subcommand_required(true)
        .subcommand(
            Command::new("out")
                .about("No work starts there from now on")
                .arg(name()),
        )
        .subcommand(Command::new("in").about("Work may start there again").arg(name()))
}

fn config() -> Command {
    Command::new("config")
        .about("Shows the configuration and where it is in force")
        .subcommand_required(true)
        .subcommand(Command::new("show").about("Prints the configuration in force as JSON"))
        .subcommand(Command::new("status").about("Lists the version in force for each instance and data centre"))
}

fn timeline() -> Command {
    Command::new("timeline")
        .about("Merges the timeline of all addressed instances")
        .arg(
            Arg::new("job")
                .long("job")
                .help("Only events of this job, as ORGANISATION/REQUEST"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_name("FILE")
                .help("Writes a picture instead of text"),
        )
}
