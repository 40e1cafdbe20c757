//! Output of `galenaspool explain`.

use domain::{EndKind, Explanation, JobState, RunExplanation, RunRecord, StepExplanation, WaitCause, WorkerTally};
use node::JobReport;

fn report(schedule: Option<Explanation>) -> JobReport {
    JobReport {
        job: "5c0e7a21d94b36f8".into(),
        instance: "entry-2".into(),
        holder: "entry-1".into(),
        epoch: 4,
        route: "quotes".into(),
        organisation: "clyde-koi".into(),
        state: Some(JobState::Running),
        is_cancelled: false,
        accepted_unix_ms: Some(1_780_000_000_000),
        accept_epoch: Some(3),
        records: vec![RunRecord {
            occurrence: 0,
            step: 0,
            index: 1,
            run: 2,
            worker: "w7".into(),
            how: EndKind::Failed,
            is_assumed: false,
            accelerators: 2,
            ran_ms: Some(812),
        }],
        gaps: vec![],
        schedule,
    }
}

/// Guards against a report that lacks the cause of the wait or the worker.
#[test]
fn report_of_the_lease_holder() {
    let schedule = Explanation {
        state: JobState::Running,
        priority: 0,
        age_ms: 4_200,
        objective_ms: 3_900,
        steps: vec![StepExplanation {
            occurrence: 0,
            step: 0,
            tasks: 3,
            done: 1,
            runs: vec![RunExplanation {
                index: 2,
                run: 3,
                worker: "w9".into(),
                state: "running".into(),
                since_ms: 1_500,
                heard_ms_ago: 210,
            }],
            waits_for: Some(WaitCause::Room {
                needed: 1,
                fit: 0,
                workers: 47,
            }),
            idle_ms: Some(2_400),
            standing: Some("postponed".into()),
            workers: Some(WorkerTally {
                full: 40,
                reserved: 7,
                room: 9,
                ..WorkerTally::default()
            }),
        }],
    };
    insta::assert_snapshot!(cli::job_text(&report(Some(schedule))));
}

/// Guards against a report of an instance without the lease that looks complete.
#[test]
fn report_of_another_instance_names_the_lease_holder() {
    insta::assert_snapshot!(cli::job_text(&report(None)));
}
