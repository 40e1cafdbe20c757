//! Identifiers: text that would corrupt a table key or a path must be rejected when it is parsed.

use model::{LeaseId, OrganisationId, TaskId};
use rstest::rstest;

#[rstest]
#[case::empty("")]
#[case::slash("a/b")]
#[case::space("a b")]
#[case::control("a\n")]
#[case::long("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
fn invalid_text_is_rejected(#[case] text: &str) {
    assert!(OrganisationId::new(text).is_err());
    assert!(serde_json::from_value::<OrganisationId>(text.into()).is_err());
}

#[test]
fn compound_ids_round_trip() {
    let task: TaskId = "org/req/2/7".parse().unwrap();
    assert_eq!(
        (task.attempt, task.part, task.to_string().as_str()),
        (2, 7, "org/req/2/7")
    );
    let lease: LeaseId = "3.14".parse().unwrap();
    assert_eq!(lease.to_string(), "3.14");
}
