//! Command line: invalid settings must stop the daemon before it listens, with the key and the allowed range.

use std::process::{Command, Output};

use rstest::rstest;

const REQUIRED: &str = r#""instance": "e1", "data_centre": "dc1", "http_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0", "platform_url": "http://127.0.0.1:9""#;

fn check_settings(name: &str, settings: &str) -> Output {
    let path = std::env::temp_dir().join(format!("galenaspoold-{}-{name}.json5", std::process::id()));
    std::fs::write(&path, settings).expect("the directory for temporary files is writable");
    let output = Command::new(env!("CARGO_BIN_EXE_galenaspoold"))
        .args(["--check-settings", "--settings"])
        .arg(&path)
        .output()
        .expect("the program starts");
    std::fs::remove_file(path).expect("the file was just written");
    output
}

#[test]
fn valid_settings_pass() {
    let output = check_settings(
        "valid",
        &format!("{{ {REQUIRED}, /* comment */ \"heartbeat_interval_ms\": 500, }}"),
    );
    assert!(output.status.success(), "{output:?}");
}

#[rstest]
#[case::missing("{}", "missing field")]
#[case::unknown(&format!("{{ {REQUIRED}, \"colour\": 1 }}"), "colour")]
#[case::out_of_range(&format!("{{ {REQUIRED}, \"heartbeat_interval_ms\": 1 }}"), "heartbeat_interval_ms is 1; allowed are whole numbers from 50")]
#[case::not_an_address(&format!("{{ {REQUIRED} }}").replace("127.0.0.1:0", "localhost"), "socket address")]
fn error_of_invalid_settings_names_the_key(#[case] settings: &str, #[case] message: &str) {
    let name = message.split(' ').next().unwrap_or_default();
    let output = check_settings(name, settings);
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains(message), "{error}");
}

#[test]
fn missing_file_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_galenaspoold"))
        .args(["--settings", "/nonexistent/settings.json5"])
        .output()
        .expect("the program starts");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nonexistent/settings.json5"));
}
