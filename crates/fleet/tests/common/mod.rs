//! Helpers that the tests on real processes share.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses a part, so an expectation fails in some"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::{Fleet, Layout};
use load::{Options, Report};
use model::{Class, JobId, JobSpec, TaskState};
use serde_json::json;
use standin::LogEntry;

/// Configuration sheet of the Lochside deployment.
pub const SHEET: &str = include_str!("../../../../examples/sheets/lochside.csv");

/// Starts a small deployment with the default bounds and waits until grants are given.
pub async fn start() -> Fleet {
    start_with(Layout::new().workers(24)).await
}

/// Starts a deployment and waits until every data centre has a scheduler and grants are given.
pub async fn start_with(layout: Layout) -> Fleet {
    let data_centres = layout.data_centres;
    let fleet = Fleet::start(layout.sheet(SHEET)).await.expect("the deployment starts");
    let all_elected = async || fleet.schedulers().await.len() == data_centres;
    fleet
        .wait_until("schedulers", Duration::from_secs(10), all_elected)
        .await
        .expect("schedulers are elected");
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    fleet
}

/// Returns the options of a load run against all instances.
pub fn options(fleet: &Fleet, duration_s: u64, rate_per_s: u64, seed: u64) -> Options {
    Options {
        servers: fleet.servers(),
        workers: fleet.worker_urls(),
        duration_s,
        rate_per_s,
        seed,
        give_up_s: 60,
        absence: None,
    }
}

/// Panics if an answer was missing, wrong or duplicated, or a refusal was false, and prints the events of such jobs.
pub async fn assert_passed(fleet: &Fleet, report: &Report) {
    if !report.passed() {
        let timeline = fleet.timeline().await;
        let executions = fleet.executions().await.unwrap_or_default();
        let doubled = report
            .doubled
            .iter()
            .filter_map(|text| text.split(':').next()?.parse::<JobId>().ok());
        for job in doubled.chain(report.false_refusals.iter().cloned()).take(4) {
            for entry in executions.iter().filter(|entry| entry.task.job == job) {
                println!("{}", serde_json::to_string(entry).unwrap_or_default());
            }
            let of_job = timeline.iter().filter(|record| record.event.job.as_ref() == Some(&job));
            for record in of_job {
                println!(
                    "{} {}",
                    record.at_unix_ms,
                    trace::to_text(std::slice::from_ref(record)).trim()
                );
            }
            println!("{}", fleet.row(&format!("job/{job}")).await);
        }
        for (job, _) in report.missing.iter().take(4) {
            let of_job = timeline.iter().filter(|record| record.event.job.as_ref() == Some(job));
            println!("{}", trace::to_text(&of_job.cloned().collect::<Vec<_>>()));
            println!("{}", fleet.row(&format!("job/{job}")).await);
        }
        let control = timeline
            .iter()
            .filter(|record| record.event.job.is_none() && record.event.lease.is_none());
        println!("{}", trace::to_text(&control.cloned().collect::<Vec<_>>()));
    }
    assert!(report.passed(), "{report}");
    let ran: u64 = report.tallies.values().map(|tally| tally.ran).sum();
    assert!(ran > 0, "nothing ran: {report}");
}

/// Returns a deferred, non-idempotent job of one part.
pub fn revaluation(id: &str, run_ms: u64) -> JobSpec {
    JobSpec::new("clyde-koi".parse().unwrap(), id.parse().unwrap())
        .declared_run_ms(run_ms)
        .payload(json!({ "run_ms": run_ms, "answer_bytes": 32 }))
}

/// Returns an urgent, idempotent job of one part.
pub fn quote(id: &str, run_ms: u64) -> JobSpec {
    revaluation(id, run_ms)
        .class(Class::Urgent)
        .idempotent(true)
        .deadline_ms(3_000)
}

/// Submits a job and returns status and body; status 0 means no reply.
pub async fn submit(fleet: &Fleet, server: &str, job: &JobSpec, wait_ms: u64) -> (u16, serde_json::Value) {
    let url = format!("{server}/v1/jobs?wait_ms={wait_ms}");
    let sent = fleet
        .client()
        .post(url)
        .timeout(Duration::from_millis(wait_ms + 8_000))
        .send_json(job)
        .await;
    let Ok(mut response) = sent else {
        return (0, serde_json::Value::Null);
    };
    let status = response.status().as_u16();
    (status, response.json().await.unwrap_or_default())
}

/// Panics if a gang ran without one of its parts for longer than `bound_ms`, which is the remaining lease of the lost
/// part plus the time to stop the others.
pub fn assert_no_partial_gang(executions: &[LogEntry], parts: &BTreeMap<JobId, u16>, bound_ms: u64) {
    let mut attempts: BTreeMap<(JobId, u32), Vec<&LogEntry>> = BTreeMap::new();
    for entry in executions {
        let key = (entry.task.job.clone(), entry.task.attempt);
        attempts.entry(key).or_default().push(entry);
    }
    for ((job, attempt), entries) in attempts {
        let Some(parts) = parts.get(&job) else { continue };
        let mut running: BTreeSet<u16> = BTreeSet::new();
        let mut ended: BTreeSet<u16> = BTreeSet::new();
        let mut partial_since = None;
        for entry in entries {
            if let Some(since) = partial_since {
                let partial_ms = entry.unix_ms.saturating_sub(since);
                assert!(
                    partial_ms <= bound_ms,
                    "{job} attempt {attempt} ran in part for {partial_ms} ms"
                );
            }
            match entry.state {
                TaskState::Running => running.insert(entry.task.part),
                // A finished part does not make the gang partial.
                TaskState::Finished => running.remove(&entry.task.part) && ended.insert(entry.task.part),
                _ => running.remove(&entry.task.part),
            };
            let is_whole = running.len() + ended.len() == usize::from(*parts) || running.is_empty();
            partial_since = if is_whole {
                None
            } else {
                partial_since.or(Some(entry.unix_ms))
            };
        }
    }
}
