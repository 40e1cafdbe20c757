//! Command line: scripts rely on exit codes, and a wrong option must not reach an instance.

use cli::{CommandError, ExitStatus, Problem};
use rstest::rstest;

fn problem(status: u16, did_not_run: Option<bool>) -> CommandError {
    CommandError::Problem(Problem {
        status,
        did_not_run,
        ..Problem::default()
    })
}

#[rstest]
#[case::refused(problem(429, Some(true)), ExitStatus::Refused)]
#[case::refused_conflict(problem(409, Some(true)), ExitStatus::Refused)]
#[case::config_conflict(problem(412, None), ExitStatus::Conflict)]
#[case::bad_request(problem(400, None), ExitStatus::Usage)]
#[case::not_found(problem(404, None), ExitStatus::NotFound)]
#[case::server_fault(problem(500, None), ExitStatus::Unreachable)]
fn problems_map_to_exit_codes(#[case] error: CommandError, #[case] expected: ExitStatus) {
    assert_eq!(error.exit_status(), expected);
}

#[rstest]
#[case::no_command(&["galenaspool"])]
#[case::no_request_id(&["galenaspool", "submit", "--organisation", "a"])]
#[case::bad_duration(&["galenaspool", "submit", "--organisation", "a", "--request", "r", "--wait", "soon"])]
#[case::bad_job(&["galenaspool", "status", "no-slash"])]
#[case::bad_format(&["galenaspool", "--output", "xml", "peers"])]
#[case::bad_adjacency(&["galenaspool", "submit", "--organisation", "a", "--request", "r", "--adjacency", "row"])]
fn wrong_options_are_rejected(#[case] args: &[&str]) {
    assert!(cli::command().try_get_matches_from(args).is_err());
}

#[test]
fn definition_is_consistent() {
    cli::command().debug_assert();
}

#[actix_rt::test]
async fn faulty_sheet_fails_without_an_instance() {
    let path = std::env::temp_dir().join(format!("galenaspool-sheet-{}.csv", std::process::id()));
    std::fs::write(&path, "record,name\nholiday,x\n").unwrap();
    let matches = cli::command().get_matches_from(["galenaspool", "sheet", "check", path.to_str().unwrap()]);
    assert_eq!(cli::run(&matches).await, ExitStatus::Usage);
    std::fs::remove_file(path).unwrap();
}

#[actix_rt::test]
async fn unreachable_instances_have_their_own_exit_code() {
    // Port 1 on the loopback interface is closed.
    let matches = cli::command().get_matches_from(["galenaspool", "--server", "http://127.0.0.1:1", "peers"]);
    assert_eq!(cli::run(&matches).await, ExitStatus::Unreachable);
}
