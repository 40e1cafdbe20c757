use std::time::Duration;

use clap::ArgMatches;

use crate::{
    Client, CommandError, ExitStatus, Format, args, domain_commands, job_commands, operator_commands, sheet_commands,
    timeline_command,
};

/// Timeout of a request that does not wait for a job.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Executes a parsed command, prints its result, and returns the exit code.
pub async fn run(matches: &ArgMatches) -> ExitStatus {
    match dispatch(matches).await {
        Ok(status) => status,
        Err(error) => {
            if Format::from(output_format(matches)) == Format::Json {
                eprintln!("{}", error_json(&error));
            } else {
                eprintln!("galenaspool: {error}");
            }
            error.exit_status()
        }
    }
}

async fn dispatch(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let servers = matches.get_many::<String>("server").into_iter().flatten();
    let servers = servers.map(|server| server.trim_end_matches('/').to_owned()).collect();
    let client = Client::new(servers, REQUEST_TIMEOUT);
    let format = Format::from(output_format(matches));
    match matches.subcommand() {
        Some(("submit", matches)) => job_commands::submit(&client, format, matches).await,
        Some(("status", matches)) => job_commands::status(&client, format, matches).await,
        Some(("answer", matches)) => job_commands::answer(&client, matches).await,
        Some(("cancel", matches)) => job_commands::cancel(&client, format, matches).await,
        Some(("jobs", matches)) => job_commands::list(&client, format, matches).await,
        Some(("audit", matches)) => job_commands::audit(&client, format, matches).await,
        Some(("sheet", matches)) => sheet_commands::run(&client, format, matches).await,
        Some(("data-centre", matches)) => operator_commands::data_centre(&client, format, matches).await,
        Some(("config", matches)) => operator_commands::config(&client, format, matches).await,
        Some(("explain", matches)) => domain_commands::explain(&client, format, matches).await,
        Some(("instances", _)) => domain_commands::instances(&client, format).await,
        Some(("peers", _)) => operator_commands::peers(&client, format).await,
        Some(("timeline", matches)) => timeline_command::run(&client, format, matches).await,
        Some(("completions", matches)) => {
            if let Some(shell) = matches.get_one::<clap_complete::Shell>("shell") {
                clap_complete::generate(*shell, &mut args::command(), "galenaspool", &mut std::io::stdout());
            }
            Ok(ExitStatus::Success)
        }
        _ => Ok(ExitStatus::Usage),
    }
}

fn output_format(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("output").map_or("table", String::as_str)
}

fn error_json(error: &CommandError) -> String {
    match error {
        CommandError::Problem(problem) => serde_json::to_string(problem).unwrap_or_default(),
        other => serde_json::json!({ "code": "command_failed", "detail": other.to_string() }).to_string(),
    }
}
