//! Settings: an unknown key or a value out of range must prevent the start, with an error that names the key.

use conf::{Settings, SettingsError};
use rstest::rstest;

fn text(extra: &str) -> String {
    format!(
        r#"{{ instance: "entry-1", data_centre: "dc1", http_address: "127.0.0.1:1", peer_address: "127.0.0.1:2",
            platform_url: "http://127.0.0.1:3", // comment
            {extra} }}"#
    )
}

#[test]
fn example_file_is_valid() {
    Settings::parse(include_str!("../../../examples/settings/entry.json5")).unwrap();
}

#[rstest]
#[case::unknown_key("colour: 1", "colour")]
#[case::out_of_range(
    "heartbeat_interval_ms: 1",
    "heartbeat_interval_ms is 1; allowed are whole numbers from 50 to 10000 (ms)"
)]
#[case::no_list_poll_interval("listing_poll_interval_ms: 0", "listing_poll_interval_ms is 0; allowed")]
#[case::no_lease_ttl("scheduling_lease_ttl_ms: 0", "scheduling_lease_ttl_ms is 0; allowed")]
#[case::no_lease_renewal("scheduling_lease_renew_ms: 0", "scheduling_lease_renew_ms is 0; allowed")]
#[case::no_worker_renewal("worker_renew_interval_ms: 0", "worker_renew_interval_ms is 0; allowed")]
#[case::no_record_batch("record_batch_interval_ms: 0", "record_batch_interval_ms is 0; allowed")]
#[case::too_many_slots("urgent_slots_per_instance: 100001", "urgent_slots_per_instance is 100001; allowed")]
#[case::too_long_cut_off("cut_off_start_limit_ms: 3600001", "cut_off_start_limit_ms is 3600001; allowed")]
#[case::too_many_events(
    "timeline_capacity_events: 10000001",
    "timeline_capacity_events is 10000001; allowed"
)]
#[case::intake_range("intake: {header_bytes: 1}", "header_bytes is 1; allowed")]
#[case::unknown_intake_key("intake: {colour: 1}", "colour")]
#[case::no_descriptors_left(
    "intake: {max_fds: 1000, reserved_fds: 1000}",
    "intake allows 0 connections with max_fds 1000 and reserved_fds 1000"
)]
#[case::reserve_given_to_callers("intake: {max_connections: 3000}", "intake allows 3000 connections")]
#[case::no_peers("intake: {max_peer_connections: 0}", "max_peer_connections is 0; allowed")]
#[case::body_over_the_budget("max_body_bytes: 8388608", "intake.budget_bytes leaves 19660800 bytes, but 41943040")]
#[case::message_over_the_budget(
    "intake: {peer_budget_bytes: 1048576}",
    "intake.peer_budget_bytes leaves 1048576 bytes, but 5242880"
)]
#[case::payload_budget("payload_budget_bytes: -1", "payload_budget_bytes is -1; allowed")]
#[case::wrong_type("store_writes_per_s: \"many\"", "store_writes_per_s is \"many\"; allowed")]
#[case::negative("store_writes_per_s: -1", "store_writes_per_s is -1; allowed")]
#[case::bad_peer(
    "peers: [{instance: \"a b\", data_centre: \"dc1\", peer_address: \"127.0.0.1:9\"}]",
    "instance id"
)]
fn error_names_the_faulty_key(#[case] extra: &str, #[case] expected: &str) {
    let message = Settings::parse(&text(extra)).unwrap_err().to_string();
    assert!(message.contains(expected), "{message}");
}

#[test]
fn instance_listed_as_its_own_peer_is_rejected() {
    let peer = r#"peers: [{instance: "entry-1", data_centre: "dc1", peer_address: "127.0.0.1:9"}]"#;
    assert!(matches!(
        Settings::parse(&text(peer)),
        Err(SettingsError::DuplicatePeer { .. })
    ));
}

#[test]
fn url_without_scheme_is_rejected() {
    let settings = text("").replace("http://", "");
    assert!(matches!(
        Settings::parse(&settings),
        Err(SettingsError::InvalidUrl {
            key: "platform_url",
            ..
        })
    ));
}

/// Guards against a machine that gets the limits of a smaller or larger one.
#[test]
fn intake_limits_follow_from_the_machine() {
    let settings = Settings::parse(&text("intake: {memory_mb: 512, max_fds: 10250}")).unwrap();
    let limits = (settings.intake.budget_bytes(), settings.intake.max_connections());
    assert_eq!(limits, (128 << 20, 9_226));
}
