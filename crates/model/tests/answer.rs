//! Answers and digests: a truncated, altered or mismatched answer must never be accepted for a request.

use model::{Answer, AnswerError, JobSpec};
use rstest::rstest;

fn answer() -> Answer {
    Answer::new("quote-1".parse().unwrap(), "price=12")
}

#[test]
fn complete_answer_is_accepted() {
    assert_eq!(answer().verify(&"quote-1".parse().unwrap()), Ok(()));
}

#[rstest]
#[case::truncated(Answer { body: "price=1".into(), ..answer() }, AnswerError::Length { got_bytes: 7, expected_bytes: 8 })]
#[case::altered(Answer { body: "price=13".into(), ..answer() }, AnswerError::Digest)]
#[case::other_request(
    Answer::new("quote-2".parse().unwrap(), "price=12"),
    AnswerError::OtherRequest { got: "quote-2".parse().unwrap(), expected: "quote-1".parse().unwrap() }
)]
fn invalid_answer_is_rejected(#[case] answer: Answer, #[case] expected: AnswerError) {
    assert_eq!(answer.verify(&"quote-1".parse().unwrap()), Err(expected));
}

#[test]
fn digest_changes_with_the_body() {
    let job = JobSpec::new("a".parse().unwrap(), "r".parse().unwrap());
    assert_eq!(job.digest(), job.clone().digest());
    assert_ne!(job.digest(), job.clone().priority(1).digest());
}
