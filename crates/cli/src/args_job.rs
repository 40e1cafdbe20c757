use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use model::{Adjacency, Class, JobId, JobSpec, Shape};

use crate::CommandError;

pub(crate) fn submit() -> Command {
    Command::new("submit")
        .about("Submits a job and, with --wait, prints its whole answer")
        .arg(
            Arg::new("file")
                .long("file")
                .value_name("FILE")
                .help("Job as JSON; the other options change it"),
        )
        .arg(
            Arg::new("organisation")
                .long("organisation")
                .required_unless_present("file")
                .help("Organisation"),
        )
        .arg(
            Arg::new("request")
                .long("request")
                .required_unless_present("file")
                .help("Request id; a repeated id with the same body is the same job"),
        )
        .arg(
            Arg::new("urgent")
                .long("urgent")
                .action(ArgAction::SetTrue)
                .help("Start as soon as possible"),
        )
        .arg(
            Arg::new("idempotent")
                .long("idempotent")
                .action(ArgAction::SetTrue)
                .help("May run more than once"),
        )
        .arg(
            Arg::new("checkpointable")
                .long("checkpointable")
                .action(ArgAction::SetTrue)
                .help("Can be checkpointed"),
        )
        .arg(number("parts", "Parts of the gang"))
        .arg(number("accelerators", "Accelerators in each part"))
        .arg(
            Arg::new("adjacency")
                .long("adjacency")
                .value_parser(["worker", "rack", "data_centre"])
                .help("How close together the parts must be"),
        )
        .arg(number(
            "cpu-milli",
            "Processor time of each part in thousandths of a core",
        ))
        .arg(number("memory-mib", "Memory of each part in MiB"))
        .arg(duration("run-time", "Expected run time"))
        .arg(duration("deadline", "Time within which the answer is useful"))
        .arg(
            Arg::new("payload")
                .long("payload")
                .value_name("JSON")
                .help("Input of the task"),
        )
        .arg(duration(
            "wait",
            "Waits for the outcome at most this long, such as 500ms, 2s or 10m",
        ))
}

pub(crate) fn by_id(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("job")
            .required(true)
            .value_name("ORGANISATION/REQUEST")
            .value_parser(parse_job)
            .help("Job"),
    )
}

pub(crate) fn list() -> Command {
    Command::new("jobs")
        .about("Lists jobs")
        .arg(
            Arg::new("organisation")
                .long("organisation")
                .help("Only jobs of this organisation"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_parser(value_parser!(u32))
                .default_value("100")
                .help("Most jobs"),
        )
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u32)).help(help)
}

fn duration(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(parse_duration).help(help)
}

fn parse_job(text: &str) -> Result<JobId, model::InvalidId> {
    text.parse()
}

/// Parses a duration such as `500ms`, `2s`, `10m` or `3h`.
fn parse_duration(text: &str) -> Result<Duration, clap::Error> {
    let invalid = || {
        clap::Error::raw(
            clap::error::ErrorKind::ValueValidation,
            "use a number and ms, s, m or h",
        )
    };
    let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(invalid)?;
    let (number, unit) = text.split_at(split);
    let number: u64 = number.parse().map_err(|_| invalid())?;
    let unit_ms = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(invalid()),
    };
    number
        .checked_mul(unit_ms)
        .map(Duration::from_millis)
        .ok_or_else(invalid)
}

/// Builds the job from a file and the options; options take precedence over the file.
pub(crate) fn job_spec(matches: &ArgMatches) -> Result<JobSpec, CommandError> {
    let text = |name: &str| matches.get_one::<String>(name);
    let mut job = match text("file") {
        Some(path) => read_job(path)?,
        None => JobSpec::new(
            required(matches, "organisation").parse()?,
            required(matches, "request").parse()?,
        ),
    };
    if let Some(organisation) = text("organisation") {
        job.organisation = organisation.parse()?;
    }
    if let Some(request) = text("request") {
        job.request_id = request.parse()?;
    }
    if matches.get_flag("urgent") {
        job.class = Class::Urgent;
    }
    job.idempotent |= matches.get_flag("idempotent");
    job.checkpointable |= matches.get_flag("checkpointable");
    let number = |name: &str| matches.get_one::<u32>(name).copied();
    let narrow = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
    let Shape {
        parts,
        accelerators_per_part,
        adjacency,
    } = job.shape;
    job.shape = Shape::new(
        number("parts").map_or(parts, narrow),
        number("accelerators").map_or(accelerators_per_part, narrow),
        text("adjacency").map_or(adjacency, |word| parse_adjacency(word)),
    );
    job.cpu_milli_per_part = number("cpu-milli").unwrap_or(job.cpu_milli_per_part);
    job.memory_mib_per_part = number("memory-mib").unwrap_or(job.memory_mib_per_part);
    let duration_ms = |name: &str| {
        matches
            .get_one::<Duration>(name)
            .map(|duration| duration.as_millis() as u64)
    };
    job.declared_run_ms = duration_ms("run-time").unwrap_or(job.declared_run_ms);
    job.deadline_ms = duration_ms("deadline").or(job.deadline_ms);
    if let Some(payload) = text("payload") {
        let parsed = serde_json::from_str(payload);
        job.payload = parsed.map_err(|source| CommandError::Json {
            input: "--payload".into(),
            source,
        })?;
    }
    Ok(job)
}

fn read_job(path: &str) -> Result<JobSpec, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.into(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| CommandError::Json {
        input: path.to_owned(),
        source,
    })
}

fn required<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn parse_adjacency(word: &str) -> Adjacency {
    match word {
        "worker" => Adjacency::Worker,
        "rack" => Adjacency::Rack,
        _ => Adjacency::DataCentre,
    }
}
