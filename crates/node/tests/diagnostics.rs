//! Diagnostics for operators: what is stored about a job, why it waits, and whether its charges match its runs.

#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::Duration;

use actix_rt::time::sleep;
use domain::{EndKind, Job, JobState, RunRecord, Step, WaitCause};
use node::{JobReport, Refused};
use rstest::rstest;
use support::{FakeStore, ID, config, request, start, submission};

fn record(index: u32, run: u64, how: EndKind) -> RunRecord {
    RunRecord {
        occurrence: 0,
        step: 0,
        index,
        run,
        worker: "w1".into(),
        how,
        is_assumed: false,
        accelerators: 2,
        ran_ms: Some(400),
    }
}

fn job(is_gang: bool) -> Job {
    let json = serde_json::json!({
        "id": ID, "route": "quotes", "service": "valuation", "organisation": "clyde-koi", "priority": 0,
        "attempts": 3, "objective_factor": 1.5, "objective_ms": 250, "spec": "", "times": 0,
        "steps": [], "accept_epoch": 1, "accepted_unix_ms": 1
    });
    let mut job: Job = serde_json::from_value(json).unwrap();
    job.steps.push(Step {
        count: 2,
        is_gang,
        ..Step::default()
    });
    job
}

/// Guards against a charge without a recorded run, or with two, that is not reported to the operator.
#[rstest]
#[case::complete(false, &[(0, 1, EndKind::Done), (1, 2, EndKind::Done)], &[])]
#[case::failed_first(false, &[(0, 1, EndKind::Failed), (0, 3, EndKind::Done), (1, 2, EndKind::Done)], &[])]
#[case::missing(false, &[(0, 1, EndKind::Done), (1, 2, EndKind::Lapsed)], &["no run of task 0.0.1 is recorded as done"])]
#[case::duplicate(
    false,
    &[(0, 1, EndKind::Done), (0, 4, EndKind::Done), (1, 2, EndKind::Done)],
    &["task 0.0.0 is recorded as done twice"]
)]
#[case::gang(true, &[(1, 5, EndKind::Done)], &[])]
#[case::gang_duplicate(true, &[(0, 5, EndKind::Done), (1, 6, EndKind::Done)], &["gang 0.0 is recorded as done twice"])]
#[case::gang_missing(true, &[], &["no run of gang 0.0 is recorded as done"])]
fn gaps_in_the_records_are_reported(
    #[case] is_gang: bool,
    #[case] records: &[(u32, u64, EndKind)],
    #[case] gaps: &[&str],
) {
    let records: Vec<_> = records
        .iter()
        .map(|(index, run, how)| record(*index, *run, *how))
        .collect();
    assert_eq!(JobReport::gaps(&job(is_gang), &records), gaps);
}

/// Guards against a run that counts twice because schedulers of two epochs recorded its end.
#[test]
fn run_end_recorded_by_two_epochs_counts_once() {
    let run_end = record(1, 7, EndKind::Done);
    let records = vec![run_end.clone(), record(0, 3, EndKind::Done), run_end.clone()];
    assert_eq!(
        JobReport::without_repetitions(records),
        [record(0, 3, EndKind::Done), run_end]
    );
}

/// Guards against an assumed lease expiry that hides the worker's later report that the run was done: an unresponsive
/// worker had completed it by then (soak seed 613).
#[test]
fn reported_run_end_replaces_an_assumed_one() {
    let mut assumed = record(0, 1, EndKind::Lapsed);
    assumed.is_assumed = true;
    let done = record(0, 1, EndKind::Done);
    for records in [[assumed.clone(), done.clone()], [done.clone(), assumed]] {
        assert_eq!(
            JobReport::without_repetitions(records.to_vec()),
            std::slice::from_ref(&done)
        );
    }
}

/// Guards against a waiting job for which operators see no cause.
#[actix_rt::test]
async fn waiting_job_reports_its_cause() {
    let store = FakeStore::default();
    *store.0.config.borrow_mut() = Some(config(&["key"]));
    let (node, handler) = start(&store).await;
    assert_eq!(handler.submit(&request(ID, "key"), &submission()).await, Ok(()));
    let diagnostics = node.diagnostics();
    let mut report = diagnostics.job(ID).await.unwrap();
    for _ in 0..40 {
        if report.schedule.is_some() {
            break;
        }
        sleep(Duration::from_millis(50)).await;
        report = diagnostics.job(ID).await.unwrap();
    }
    assert_eq!(
        (report.state, report.holder.as_str()),
        (Some(JobState::Queued), "entry-1")
    );
    let schedule = report.schedule.unwrap();
    // The fake store lists no worker.
    assert_eq!(schedule.steps[0].waits_for, Some(WaitCause::NoWorker));
    let unknown = diagnostics.job("00000000000000ff").await;
    assert_eq!(unknown.err(), Some(Refused::UnknownJob));
    let instance = diagnostics.instance();
    assert!(instance.is_ready && instance.config_version == Some(1), "{instance:?}");
}
