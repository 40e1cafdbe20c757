use clap::ArgMatches;
use model::JobId;
use trace::Page;

use crate::{Client, CommandError, ExitStatus, Format, output};

/// Merges the timelines of all addressed instances; an instance that does not answer is named on standard error.
pub(crate) async fn run(client: &Client, format: Format, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let mut records = Vec::new();
    let mut any_answered = false;
    for server in client.servers() {
        match client.with_server(server).get::<Page>("/v1/timeline?after=0").await {
            Ok(page) => {
                any_answered = true;
                if page.dropped > 0 {
                    eprintln!(
                        "galenaspool: {server}: {} older events are no longer kept",
                        page.dropped
                    );
                }
                records.extend(page.records);
            }
            Err(error) => eprintln!("galenaspool: {server}: {error}"),
        }
    }
    if !any_answered {
        return Err(CommandError::Unreachable {
            tried: client.servers().join(", "),
        });
    }
    let mut records = trace::merge(records);
    if let Some(job) = matches.get_one::<String>("job") {
        let job: JobId = job.parse()?;
        records.retain(|record| record.event.job.as_ref() == Some(&job));
    }
    match (matches.get_one::<String>("svg"), format) {
        (Some(path), _) => {
            let written = std::fs::write(path, trace::to_svg(&records));
            written.map_err(|source| CommandError::File {
                path: path.into(),
                source,
            })?;
        }
        (None, Format::Json) => output::json(&records),
        (None, Format::Table) => output::line(trace::to_text(&records).trim_end()),
    }
    Ok(ExitStatus::Success)
}
