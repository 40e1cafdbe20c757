//! HTTP interface: every bad request gets problem details with a stable code and has no effect.

mod support;

use awc::http::Method;
use rstest::rstest;
use serde_json::{Value, json};
use support::TestSystem;

const ORGANISATION: &str = r#""organisation":"clyde-koi","request_id":"r""#;

#[rstest]
#[case::not_json("{", 400, "malformed_body")]
#[case::missing_field(r#"{"organisation":"clyde-koi"}"#, 400, "malformed_body")]
#[case::unknown_field(r#"{ORG,"colour":"red"}"#, 400, "malformed_body")]
#[case::bad_id(r#"{"organisation":"clyde koi","request_id":"r"}"#, 400, "malformed_body")]
#[case::unknown_class(r#"{ORG,"class":"soon"}"#, 400, "malformed_body")]
#[case::negative_number(r#"{ORG,"declared_run_ms":-1}"#, 400, "malformed_body")]
#[case::unknown_organisation(r#"{"organisation":"tay-koi","request_id":"r"}"#, 422, "unknown_organisation")]
#[case::no_parts(r#"{ORG,"shape":{"parts":0,"accelerators_per_part":1}}"#, 422, "invalid_shape")]
#[case::too_many_parts(r#"{ORG,"shape":{"parts":65,"accelerators_per_part":1}}"#, 422, "invalid_shape")]
#[case::too_many_accelerators(r#"{ORG,"shape":{"parts":1,"accelerators_per_part":65}}"#, 422, "invalid_shape")]
#[case::never_fits(r#"{ORG,"shape":{"parts":1,"accelerators_per_part":9}}"#, 422, "never_fits")]
#[case::too_much_memory(r#"{ORG,"memory_mib_per_part":4000000}"#, 422, "never_fits")]
#[actix_web::test]
async fn bad_job_is_refused_and_did_not_run(#[case] body: &str, #[case] status: u16, #[case] code: &str) {
    let system = TestSystem::start_unconfigured(1).await;
    system.put_config(0, 0, &support::config()).await;
    system.until("the list of workers is known", async || {
        let big =
            json!({"organisation": "clyde-koi", "request_id": "p", "shape": {"parts": 1, "accelerators_per_part": 9}});
        system.post(0, "/v1/jobs", &big).await.status == 422
    })
    .await;
    let body = body.replace("ORG", ORGANISATION).into_bytes();
    let reply = system.send(0, &Method::POST, "/v1/jobs", None, body).await;
    assert_problem(&reply, status, code);
    assert_eq!(reply.body["did_not_run"], true);
    assert_eq!(system.get(0, "/v1/jobs/clyde-koi/r").await.status, 404);
    assert!(system.cluster.log().await.is_empty(), "no worker started anything");
}

#[rstest]
#[case::unknown_path(Method::GET, "/v1/nothing", "", 404, "unknown_path")]
#[case::wrong_method(Method::PATCH, "/v1/jobs", "", 405, "method_not_allowed")]
#[case::wrong_method_on_job(Method::POST, "/v1/jobs/a/b", "", 405, "method_not_allowed")]
#[case::bad_job_id(Method::GET, "/v1/jobs/a%20b/c", "", 400, "invalid_parameter")]
#[case::unknown_job(Method::GET, "/v1/jobs/a/b", "", 404, "unknown_job")]
#[case::unknown_answer(Method::GET, "/v1/jobs/a/b/answer", "", 404, "unknown_job")]
#[case::unknown_audit(Method::GET, "/v1/audit/a/b", "", 404, "unknown_job")]
#[case::unknown_cancel(Method::DELETE, "/v1/jobs/a/b", "", 404, "unknown_job")]
#[case::bad_wait(Method::POST, "/v1/jobs?wait_ms=soon", "{}", 400, "invalid_parameter")]
#[case::unknown_query(Method::POST, "/v1/jobs?wait=1", "{}", 400, "invalid_parameter")]
#[case::bad_limit(Method::GET, "/v1/jobs?limit=0", "", 400, "invalid_parameter")]
#[case::bad_after(Method::GET, "/v1/jobs?after=x", "", 400, "invalid_parameter")]
#[case::no_if_match(
    Method::PUT,
    "/v1/config",
    r#"{"organisations":[],"data_centres":[]}"#,
    428,
    "if_match_required"
)]
#[case::bad_config(Method::PUT, "/v1/config", "[]", 400, "malformed_body")]
#[case::no_config(Method::GET, "/v1/config", "", 503, "no_configuration")]
#[case::job_without_config(
    Method::POST,
    "/v1/jobs",
    r#"{"organisation":"a","request_id":"b"}"#,
    503,
    "no_configuration"
)]
#[case::unknown_data_centre(Method::POST, "/v1/data-centres/dc9/out", "", 404, "unknown_data_centre")]
#[case::bad_after_number(Method::GET, "/v1/timeline?after=-1", "", 400, "invalid_parameter")]
#[case::not_ready(Method::GET, "/readyz", "", 503, "not_ready")]
#[actix_web::test]
async fn bad_request_gets_problem_details(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let system = TestSystem::start_unconfigured(1).await;
    let reply = system.send(0, &method, path, None, body.into()).await;
    assert_problem(&reply, status, code);
}

#[actix_web::test]
async fn oversized_body_is_refused() {
    let system = TestSystem::start_unconfigured(1).await;
    let body = format!(r#"{{{ORGANISATION},"payload":"{}"}}"#, "x".repeat(5_000));
    let reply = system.send(0, &Method::POST, "/v1/jobs", None, body.into_bytes()).await;
    assert_problem(&reply, 413, "body_too_large");
    assert_eq!(reply.body["did_not_run"], true);
}

/// Guards against a body of legal size that takes many times its size once it is decoded.
#[actix_web::test]
async fn body_of_many_small_objects_is_refused() {
    let system = TestSystem::start_unconfigured_with(1, |settings| settings.max_body_bytes = 1 << 20).await;
    let objects = r#"{"a":1},"#.repeat(50_000);
    let body = format!(r#"{{{ORGANISATION},"payload":[{objects}0]}}"#);
    let reply = system.send(0, &Method::POST, "/v1/jobs", None, body.into_bytes()).await;
    assert_problem(&reply, 413, "body_too_large");
    assert_eq!(reply.body["did_not_run"], true);
}

#[rstest]
#[case::duplicate_organisation(json!({"organisations": [org("a"), org("a")], "data_centres": []}), "invalid_config")]
#[case::zero_weight(json!({"organisations": [{"id": "a", "weight": 0, "queue_limit": 1}], "data_centres": []}), "invalid_config")]
#[case::unknown_data_centre(
    json!({"organisations": [{"id": "a", "weight": 1, "queue_limit": 1, "guarantees": [
        {"shape": {"parts": 1, "accelerators_per_part": 1}, "count": 1, "data_centre": "dc9"}]}], "data_centres": []}),
    "invalid_config"
)]
#[case::does_not_fit(
    json!({"organisations": [{"id": "a", "weight": 1, "queue_limit": 1, "guarantees": [
        {"shape": {"parts": 64, "accelerators_per_part": 8}, "count": 1}]}],
        "data_centres": [{"id": "dc1", "in_service": true}]}),
    "guarantee_does_not_fit"
)]
#[actix_web::test]
async fn bad_configuration_is_refused_as_a_whole(#[case] config: Value, #[case] code: &str) {
    let system = TestSystem::start_unconfigured(1).await;
    system
        .until("the list of workers is known", async || {
            system.put(0, "/v1/config", Some("0"), &config).await.text("code") != "not_ready"
        })
        .await;
    let reply = system.put(0, "/v1/config", Some("0"), &config).await;
    assert_problem(&reply, 422, code);
    assert_eq!(system.get(0, "/v1/config").await.status, 503, "nothing was applied");
}

fn org(id: &str) -> Value {
    json!({"id": id, "weight": 1, "queue_limit": 1})
}

fn assert_problem(reply: &support::Reply, status: u16, code: &str) {
    assert_eq!(
        (reply.status.as_u16(), reply.text("code")),
        (status, code),
        "{:?}",
        reply.body
    );
    assert_eq!(reply.body["status"], status);
    assert_eq!(reply.text("type"), format!("urn:galenaspool:problem:{code}"));
    assert!(!reply.text("detail").is_empty());
}
