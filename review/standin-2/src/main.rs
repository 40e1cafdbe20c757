//! Scenarios of the review: real instances beside stand-ins for platform, workers and callers, on loopback.

mod cases;
mod cloud;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cases::Verdict;
use fleet::{Failure, Fleet};
use record::Record;

/// Exit code of a case that could not run.
const NOT_RUN: u8 = 2;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

/// Zones of the instances.
const ZONES: [&str; 3] = ["colombo", "gampaha", "kalutara"];

/// Returns the number of workers in each zone.
fn workers_per_zone(case: &str) -> usize {
    if case == "kind" { 8 } else { 4 }
}

fn run(case: &str, folder: &Path, is_troubled: bool) -> Result<Verdict, Failure> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    record.say(&format!("case {case}, with disruption: {is_troubled}"));
    let fleet = Fleet::start(Arc::clone(&record), &ZONES, workers_per_zone(case))?;
    let guarded = Arc::clone(&fleet);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        eprintln!("not within {LIMIT:?}");
        guarded.end();
        std::process::exit(NOT_RUN.into());
    });
    let verdict = match case {
        "cut" => cases::cut(&fleet, is_troubled),
        "zone-loss" => cases::zone_loss(&fleet, is_troubled),
        "hang" => cases::hang(&fleet, is_troubled),
        "kind" => cases::kind(&fleet, is_troubled),
        "crashes" => cases::crashes(&fleet, is_troubled),
        "wave" => cases::wave(&fleet, is_troubled),
        _ => Err(format!("no case {case}").into()),
    };
    fleet.end();
    if let Ok(verdict) = &verdict {
        record.say(&verdict.to_string());
    }
    verdict
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return NOT_RUN.into();
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(case, Path::new(folder), is_troubled) {
        Ok(Verdict::Held(_)) => ExitCode::SUCCESS,
        Ok(Verdict::Broken(_)) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("could not run: {error}");
            NOT_RUN.into()
        }
    }
}
