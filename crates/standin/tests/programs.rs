//! Tests of the stand-in programs.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use rstest::rstest;

/// Guards against a program that does not start from its options or hangs on SIGTERM while a connection is open.
#[rstest]
#[case::platform(env!("CARGO_BIN_EXE_standin-platform"), &["--address", "127.0.0.1:0"])]
#[case::workers(env!("CARGO_BIN_EXE_standin-workers"), &["--address", "127.0.0.1:0", "--only", "dc2"])]
#[case::relay(env!("CARGO_BIN_EXE_standin-relay"), &["--control", "127.0.0.1:0", "--link", "a=127.0.0.1:0->127.0.0.1:9"])]
fn program_exits_cleanly_on_sigterm(#[case] program: &str, #[case] arguments: &[&str]) {
    let mut child = Command::new(program)
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap())
        .read_line(&mut line)
        .unwrap();
    assert!(line.starts_with("listening on 127.0.0.1:"), "{line:?}");
    let address = line.trim().rsplit(' ').next().unwrap().to_owned();
    let open = std::net::TcpStream::connect(address).unwrap();

    let killed = Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .unwrap();
    assert!(killed.success());
    let signalled_at = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        if signalled_at.elapsed() > Duration::from_millis(2500) {
            child.kill().unwrap();
            panic!("the program did not exit");
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    drop(open);
    assert!(status.success(), "{status}");
}
