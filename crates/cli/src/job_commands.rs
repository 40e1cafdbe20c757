use std::time::{Duration, Instant};

use clap::ArgMatches;
use indicatif::{ProgressBar, ProgressStyle};
use model::{JobId, JobSpec, Outcome};
use serde_json::Value;

use crate::client::decode;
use crate::{Audit, Client, CommandError, ExitStatus, Format, args_job, output};

/// Longest wait in one request. A longer wait is split into several, so that the loss of an instance costs only one.
const WAIT_STEP: Duration = Duration::from_secs(5);
/// Time beyond the wait after which a request counts as lost.
const WAIT_MARGIN: Duration = Duration::from_secs(5);
/// Pause before the same request is sent again after no instance answered.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

pub(crate) async fn submit(client: &Client, format: Format, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let job = args_job::job_spec(matches)?;
    let wait = matches.get_one::<Duration>("wait").copied().unwrap_or_default();
    let outcome = submit_and_wait(client, &job, wait).await?;
    Ok(print_outcome(format, &job.id(), &outcome))
}

/// Submits the job repeatedly until its outcome is final or `wait` has passed. Repeating is safe, as the request id
/// identifies the job.
async fn submit_and_wait(client: &Client, job: &JobSpec, wait: Duration) -> Result<Outcome, CommandError> {
    let body = serde_json::to_value(job).map_err(|source| CommandError::Json {
        input: "job".into(),
        source,
    })?;
    let client = Client::new(client.servers().to_vec(), WAIT_STEP + WAIT_MARGIN);
    let start = Instant::now();
    let progress = progress(wait);
    loop {
        let remaining = wait.saturating_sub(start.elapsed());
        let step_ms = remaining.min(WAIT_STEP).as_millis();
        let reply = client.post(&format!("/v1/jobs?wait_ms={step_ms}"), Some(&body)).await;
        let outcome = match reply {
            Ok(reply) => decode::<Outcome>(&reply)?,
            Err(CommandError::Unreachable { .. }) if !remaining.is_zero() => {
                actix_rt::time::sleep(RETRY_PAUSE.min(remaining)).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        let is_open = matches!(outcome, Outcome::InProgress | Outcome::Indeterminate);
        if !is_open || start.elapsed() >= wait {
            progress.finish_and_clear();
            return Ok(outcome);
        }
    }
}

/// Shows a spinner on a terminal while waiting for longer than a second; draws nothing elsewhere.
fn progress(wait: Duration) -> ProgressBar {
    if wait < Duration::from_secs(1) {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new_spinner().with_message("waiting for the outcome");
    if let Ok(style) = ProgressStyle::with_template("{spinner} {msg} {elapsed}") {
        bar.set_style(style);
    }
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}

pub(crate) async fn status(client: &Client, format: Format, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let job = job_id(matches);
    let row: Value = client.get(&format!("/v1/jobs/{job}")).await?;
    match format {
        Format::Json => output::json(&row),
        Format::Table => output::table(
            std::slice::from_ref(&row),
            &["organisation", "request_id", "state", "data_centre", "outcome"],
        ),
    }
    Ok(ExitStatus::Success)
}

pub(crate) async fn answer(client: &Client, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let job = job_id(matches);
    let answer: model::Answer = client.get(&format!("/v1/jobs/{job}/answer")).await?;
    answer.verify(&job.request).map_err(|error| CommandError::Protocol {
        message: error.to_string(),
    })?;
    output::line(&answer.body);
    Ok(ExitStatus::Success)
}

pub(crate) async fn cancel(client: &Client, format: Format, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let job = job_id(matches);
    let outcome: Outcome = decode(&client.delete(&format!("/v1/jobs/{job}")).await?)?;
    match print_outcome(format, &job, &outcome) {
        ExitStatus::Failed if matches!(outcome, Outcome::Cancelled { .. }) => Ok(ExitStatus::Success),
        status => Ok(status),
    }
}

pub(crate) async fn list(client: &Client, format: Format, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let limit = matches.get_one::<u32>("limit").copied().unwrap_or(100);
    let path = match matches.get_one::<String>("organisation") {
        Some(organisation) => {
            let organisation: model::OrganisationId = organisation.parse()?;
            format!("/v1/jobs?limit={limit}&organisation={organisation}")
        }
        None => format!("/v1/jobs?limit={limit}"),
    };
    let reply: Value = client.get(&path).await?;
    match format {
        Format::Json => output::json(&reply),
        Format::Table => output::table(
            rows(&reply, "jobs"),
            &["organisation", "request_id", "class", "state", "data_centre"],
        ),
    }
    Ok(ExitStatus::Success)
}

pub(crate) async fn audit(client: &Client, format: Format, matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let job = job_id(matches);
    let reply: Value = client.get(&format!("/v1/audit/{job}")).await?;
    if format == Format::Json {
        output::json(&reply);
        return Ok(ExitStatus::Success);
    }
    let audit: Audit = serde_json::from_value(reply).map_err(|error| CommandError::Protocol {
        message: error.to_string(),
    })?;
    output::line(&format!("job {job}: {:?}", audit.job.state).to_lowercase());
    for attempt in &audit.job.attempts {
        output::line(&format!(
            "attempt {} under epoch {}: {:?}",
            attempt.number, attempt.epoch, attempt.state
        ));
        for (part, part_placement) in attempt.placement.parts.iter().enumerate() {
            output::line(&format!(
                "  part {part}: worker {}, lease {}",
                part_placement.worker, part_placement.lease
            ));
        }
    }
    for charge in &audit.charges {
        let confirmed = if charge.confirmed { "confirmed" } else { "not confirmed" };
        output::line(&format!(
            "charge of attempt {}: {} accelerator ms, {confirmed}",
            charge.attempt, charge.accelerator_ms
        ));
    }
    for gap in audit.gaps() {
        output::line(&format!("gap: {gap}"));
    }
    Ok(ExitStatus::Success)
}

/// Returns the list under `key`, or the reply itself if it is a list.
pub(crate) fn rows<'a>(reply: &'a Value, key: &str) -> &'a [Value] {
    reply
        .as_array()
        .or_else(|| reply[key].as_array())
        .map_or(&[], Vec::as_slice)
}

fn job_id(matches: &ArgMatches) -> JobId {
    matches
        .get_one::<JobId>("job")
        .cloned()
        .expect("clap requires the argument")
}

fn print_outcome(format: Format, job: &JobId, outcome: &Outcome) -> ExitStatus {
    let (status, text) = match outcome {
        Outcome::Ran { answer } => match answer.verify(&job.request) {
            Ok(()) => (ExitStatus::Success, answer.body.clone()),
            Err(error) => (ExitStatus::Unreachable, format!("answer is not whole: {error}")),
        },
        Outcome::Failed { message } => (ExitStatus::Failed, format!("{job} failed: {message}")),
        Outcome::DidNotRun { refusal } => (ExitStatus::Refused, format!("{job} did not run: {refusal}")),
        Outcome::Cancelled { started } => {
            let extent = if *started {
                "after it had started"
            } else {
                "before it started"
            };
            (ExitStatus::Failed, format!("{job} was cancelled {extent}"))
        }
        Outcome::InProgress => (ExitStatus::InProgress, format!("{job} is in progress")),
        Outcome::Indeterminate => (ExitStatus::Indeterminate, format!("whether {job} ran is not known yet")),
    };
    match format {
        Format::Json => output::json(outcome),
        Format::Table => output::line(&text),
    }
    status
}
