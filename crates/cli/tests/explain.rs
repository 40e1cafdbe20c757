//! Output of `galenaspool explain`.

use domain::{
    EndKind, Explanation, JobState, OrganisationShare, Resources, RunExplanation, RunRecord, SpeedState,
    StepExplanation, WaitCause, WorkerTally,
};
use node::JobReport;
use rstest::rstest;

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

/// Guards against a report that lacks the cause of the wait, the worker, or its speed where it is known.
#[test]
fn report_of_the_lease_holder() {
    let schedule = Explanation {
        state: JobState::Running,
        priority: 0,
        age_ms: 4_200,
        objective_ms: 3_900,
        organisation: None,
        speeds: Some(SpeedState::Uneven),
        steps: vec![StepExplanation {
            occurrence: 0,
            step: 0,
            tasks: 3,
            done: 1,
            runs: vec![
                RunExplanation {
                    index: 1,
                    run: 4,
                    worker: "w8".into(),
                    state: "starting".into(),
                    since_ms: 20,
                    heard_ms_ago: 190,
                    speed_percent: None,
                },
                RunExplanation {
                    index: 2,
                    run: 3,
                    worker: "w9".into(),
                    state: "running".into(),
                    since_ms: 1_500,
                    heard_ms_ago: 210,
                    speed_percent: Some(62),
                },
            ],
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

/// Guards against a report that hides that a step waits for the maximum of its organisation, and how much is in use.
#[test]
fn wait_for_the_maximum_names_what_binds() {
    let resources = |cpu_milli, memory_mib, accelerators| Resources {
        cpu_milli,
        memory_mib,
        accelerators,
    };
    let schedule = Explanation {
        state: JobState::Queued,
        priority: 1,
        age_ms: 4_200,
        objective_ms: 3_900,
        speeds: None,
        organisation: Some(OrganisationShare {
            name: "clyde-koi".into(),
            usage: resources(64_000, 8_192, 430),
            maximum: resources(0, 0, 432),
            weight: 2,
            dominant_share_permille: 77,
        }),
        steps: vec![StepExplanation {
            occurrence: 0,
            step: 0,
            tasks: 4,
            done: 0,
            runs: vec![],
            waits_for: Some(WaitCause::OrganisationMaximum {
                resource: "accelerators".into(),
                in_use: 430,
                limit: 432,
                held_ms: 2_300,
            }),
            standing: None,
            idle_ms: None,
            workers: None,
        }],
    };
    insta::assert_snapshot!(cli::job_text(&report(Some(schedule))));
}

/// Guards against a report that leaves open whether placement knows the speeds, as after a takeover without stored ones,
/// and against a line about speeds from an older build that knows none.
#[rstest]
#[case::unknown(
    Some(SpeedState::Unknown),
    Some("speeds of the workers: not known yet, placement ignores them")
)]
#[case::even(
    Some(SpeedState::Even),
    Some("speeds of the workers: nearly equal, placement ignores them")
)]
#[case::older_build(None, None)]
fn report_states_whether_speeds_are_known(#[case] speeds: Option<SpeedState>, #[case] line: Option<&str>) {
    let schedule = Explanation {
        state: JobState::Queued,
        priority: 0,
        age_ms: 10,
        objective_ms: 3_900,
        speeds,
        organisation: None,
        steps: vec![],
    };
    let text = cli::job_text(&report(Some(schedule)));
    assert_eq!(text.lines().find(|line| line.starts_with("speeds")), line);
}

/// Guards against a report of an instance without the lease that looks complete.
#[test]
fn report_of_another_instance_names_the_lease_holder() {
    insta::assert_snapshot!(cli::job_text(&report(None)));
}
