use clap::ArgMatches;
use serde_json::Value;

use crate::client::decode;
use crate::job_commands::rows;
use crate::{Client, CommandError, ExitStatus, Format, output};

pub(crate) async fn data_centre(
    client: &Client,
    format: Format,
    matches: &ArgMatches,
) -> Result<ExitStatus, CommandError> {
    let Some((direction, matches)) = matches.subcommand() else {
        return Ok(ExitStatus::Usage);
    };
    let name = matches.get_one::<String>("data_centre").map_or("", String::as_str);
    let data_centre: model::DataCentreId = name.parse()?;
    let reply: Value = decode(
        &client
            .post(&format!("/v1/data-centres/{data_centre}/{direction}"), None)
            .await?,
    )?;
    match format {
        Format::Json => output::json(&reply),
        Format::Table => {
            let state = reply["state"].as_str().unwrap_or("recorded");
            output::line(&format!(
                "{data_centre} {direction}: {state}; see galenaspool config status"
            ));
        }
    }
    Ok(ExitStatus::Success)
}

pub(crate) async fn config(client: &Client, format: Format, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    if matches.subcommand_name() == Some("show") {
        output::json(&client.config().await?);
        return Ok(ExitStatus::Success);
    }
    let reply: Value = client.get("/v1/config/status").await?;
    match format {
        Format::Json => output::json(&reply),
        Format::Table => {
            output::table(
                rows(&reply, "instances"),
                &["instance", "data_centre", "version", "status"],
            );
            output::line("");
            output::table(
                rows(&reply, "data_centres"),
                &["data_centre", "in_service", "out", "version", "scheduler", "local_out"],
            );
        }
    }
    Ok(ExitStatus::Success)
}

pub(crate) async fn peers(client: &Client, format: Format) -> Result<ExitStatus, CommandError> {
    let reply: Value = client.get("/v1/peers").await?;
    match format {
        Format::Json => output::json(&reply),
        Format::Table => {
            output::table(
                rows(&reply, "peers"),
                &[
                    "instance",
                    "data_centre",
                    "status",
                    "config_version",
                    "scheduler_of",
                    "age_ms",
                ],
            );
        }
    }
    Ok(ExitStatus::Success)
}
