//! Plays one case of the review: stand-ins of the platform, the workers and the callers around the project's own
//! program, which runs as separate processes.
//!
//! Usage: `review-standin CASE PROGRAM RECORD FOLDER`. With `TROUBLE=0` in the environment, the disruption is left out.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod base64;
mod cases;
mod http;
mod json;
mod random;
mod record;
mod store;
mod worker;
mod world;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Outcome of a case.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, program, record, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE PROGRAM RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(Path::new(record)) else {
        eprintln!("cannot write {record}");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let case = cases::Case {
        program: Path::new(program),
        folder: Path::new(folder),
        has_trouble,
        record: Arc::clone(&record),
    };
    let verdict = case.play(name);
    let code = match verdict {
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::NotRun => {
            record.say("the case could not run");
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
