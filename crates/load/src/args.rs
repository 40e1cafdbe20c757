use clap::{Arg, ArgAction, Command, value_parser};

/// Returns the definition of the command line.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    Command::new("galenaspool-load")
        .version(clap::crate_version!())
        .about("Submits a realistic mix of jobs and checks every answer")
        .after_help(
            "Exit codes: 0 every answer whole and single, 1 an answer missing, wrong or doubled, 2 not carried out.",
        )
        .arg(
            Arg::new("server")
                .long("server")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .default_value("http://127.0.0.1:7001")
                .help("Entry instances"),
        )
        .arg(
            Arg::new("workers")
                .long("workers")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .help("Worker processes whose logs are compared with the answers"),
        )
        .arg(number("seconds", "30", "How long jobs arrive"))
        .arg(number("rate", "40", "Jobs that arrive in a second, on average"))
        .arg(number("seed", "1", "Seed of the mix"))
        .arg(number("give-up-s", "60", "How long a caller waits for a final outcome"))
        .arg(number("out-at-s", "10", "When the data centre is taken out"))
        .arg(number("in-at-s", "20", "When the data centre is taken back in"))
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("DATA_CENTRE")
                .help("Data centre to take out and back in"),
        )
}
