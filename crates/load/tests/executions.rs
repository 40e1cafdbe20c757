//! Tests of the checks of the load tool: a duplicate run or a wrong answer must not go unnoticed.

use load::{Executions, Mix, Report};

#[test]
fn second_attempt_and_repeated_start_are_counted() {
    let entry = |task: &str, event: &str| {
        serde_json::from_value(serde_json::json!({ "task": task, "event": event, "worker": "w" })).unwrap()
    };
    let mut executions = Executions::default();
    executions.extend([
        entry("a/r/1/0", "start"),
        entry("a/r/1/1", "start"),
        entry("a/r/2/0", "start"),
        entry("a/r/2/0", "start"),
        entry("a/r/2/0", "end"),
    ]);
    assert_eq!(executions.attempts_of(&"a/r".parse().unwrap()), 2);
    assert_eq!(
        executions.doubled_tasks().map(ToString::to_string).collect::<Vec<_>>(),
        ["a/r/2/0"]
    );
}

#[test]
fn duplicate_run_fails_the_report() {
    assert!(Report::default().passed());
    let report = Report {
        doubled: vec!["a/r: 2 attempts started".into()],
        ..Report::default()
    };
    assert!(!report.passed() && report.to_string().contains("FAILED"));
}

#[test]
fn same_seed_gives_the_same_jobs() {
    let jobs = |seed| {
        Mix::new("x", seed, vec!["a".parse().unwrap()])
            .take(200)
            .collect::<Vec<_>>()
    };
    assert_eq!(jobs(1), jobs(1));
    assert_ne!(jobs(1), jobs(2));
}
