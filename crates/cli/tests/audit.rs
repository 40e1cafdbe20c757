//! Audit of an invoice line: a charge that does not trace back to recorded work must show as a gap.

use cli::Audit;
use rstest::rstest;
use serde_json::{Value, json};

fn complete_trail() -> Value {
    json!({
        "job": {
            "state": "finished",
            "idempotent": false,
            "answer_sha256": "ab",
            "attempts": [{
                "number": 2,
                "epoch": 3,
                "placement": [{ "worker": "dc1-r1-w1", "lease": "3.7" }],
                "state": "finished",
                "recorded_unix_ms": 1,
            }],
        },
        "charges": [{
            "job": "a/r",
            "attempt": 2,
            "data_centre": "dc1",
            "leases": [["dc1-r1-w1", "3.7"]],
            "accelerator_ms": 50,
            "confirmed": true,
        }],
    })
}

#[rstest]
#[case::complete("", Value::Null, &[])]
#[case::no_charge("/charges", json!([]), &["attempt 2 finished and has no charge"])]
#[case::no_answer("/job/answer_sha256", Value::Null, &["the job finished and no answer is stored"])]
#[case::unknown("/job/attempts/0/state", json!("unknown"), &["whether attempt 2 ran is not known"])]
#[case::not_confirmed("/charges/0/confirmed", json!(false), &["the charge of attempt 2 is not confirmed by a usage report"])]
#[case::unrecorded_lease(
    "/charges/0/leases/0/1",
    json!("3.8"),
    &["the charge of attempt 2 names lease 3.8 on dc1-r1-w1, which is not recorded"]
)]
#[case::no_record(
    "/charges/0/attempt",
    json!(1),
    &["attempt 2 finished and has no charge", "the charge of attempt 1 has no attempt record"]
)]
fn gaps_are_shown(#[case] path: &str, #[case] value: Value, #[case] expected: &[&str]) {
    let mut trail = complete_trail();
    if !path.is_empty() {
        *trail.pointer_mut(path).unwrap() = value;
    }
    let audit: Audit = serde_json::from_value(trail).unwrap();
    assert_eq!(audit.gaps(), expected);
}
