use std::fmt::Write;

use crate::Record;

/// Renders merged records as text, one line each, with times relative to the first record.
pub fn to_text(records: &[Record]) -> String {
    let start_ms = records.first().map_or(0, |record| record.at_unix_ms);
    let mut text = String::new();
    for record in records {
        let offset_ms = record.at_unix_ms.saturating_sub(start_ms);
        let event = &record.event;
        let _ = write!(
            text,
            "{:>6}.{:03} {:<12} {:<22}",
            offset_ms / 1_000,
            offset_ms % 1_000,
            record.process,
            event.kind
        );
        if let Some(job) = &event.job {
            let _ = write!(text, " job={job}");
        }
        if let Some(attempt) = event.attempt {
            let _ = write!(text, " attempt={attempt}");
        }
        if let Some(lease) = event.lease {
            let _ = write!(text, " lease={lease}");
        }
        if let Some(worker) = &event.worker {
            let _ = write!(text, " worker={worker}");
        }
        if let Some(data_centre) = &event.data_centre {
            let _ = write!(text, " dc={data_centre}");
        }
        if let Some(epoch) = event.epoch {
            let _ = write!(text, " epoch={epoch}");
        }
        if let Some(cause) = &event.cause {
            let _ = write!(text, " cause={cause}");
        }
        text.push('\n');
    }
    text
}
