use clap::ArgMatches;
use conf::{Change, Sheet};
use model::{Config, ConfigVersion};
use serde_json::Value;

use crate::client::decode;
use crate::{Client, CommandError, ExitStatus, Format, output};

pub(crate) async fn run(client: &Client, format: Format, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let Some((action, matches)) = matches.subcommand() else {
        return Ok(ExitStatus::Usage);
    };
    let sheet = read_sheet(matches.get_one::<String>("file").map_or("", String::as_str))?;
    match action {
        "check" => {
            output::line(&format!(
                "valid: {} organisations, {} data centres, {} priorities",
                sheet.organisations.len(),
                sheet.data_centres.len(),
                sheet.priorities.len()
            ));
            Ok(ExitStatus::Success)
        }
        "diff" => {
            let current = current_config(client).await?;
            for change in Change::between(&current, &sheet) {
                output::line(&change.to_string());
            }
            Ok(ExitStatus::Success)
        }
        _ => apply(client, format, matches, sheet).await,
    }
}

async fn apply(
    client: &Client,
    format: Format,
    matches: &ArgMatches,
    mut sheet: Config,
) -> Result<ExitStatus, CommandError> {
    let base = match matches.get_one::<u64>("base") {
        Some(version) => ConfigVersion(*version),
        None => current_config(client).await?.version,
    };
    sheet.version = base.next();
    let body = serde_json::to_value(&sheet).map_err(|source| CommandError::Json {
        input: "sheet".into(),
        source,
    })?;
    let reply: Value = decode(&client.put_config(&body, base).await?)?;
    match format {
        Format::Json => output::json(&reply),
        Format::Table => output::line(&format!(
            "version {} accepted; see galenaspool config status",
            sheet.version
        )),
    }
    Ok(ExitStatus::Success)
}

/// Returns the configuration in force, or an empty one with version 0 before the first sheet.
async fn current_config(client: &Client) -> Result<Config, CommandError> {
    match client.config().await {
        Err(CommandError::Problem(problem)) if problem.code == "no_configuration" => Ok(Config::default()),
        other => other,
    }
}

fn read_sheet(path: &str) -> Result<Config, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.into(),
        source,
    })?;
    Ok(Sheet::parse(&text)?)
}
