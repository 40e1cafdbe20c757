//! Durable speeds of workers: what a lease holder reads of them.

#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use node::{Place, Put, Store, Txn};
use rstest::rstest;
use support::{FakeStore, config, start, worker};

/// Number of workers of each speed; together they suffice for an estimate of the spread.
const WORKERS: usize = 5;

/// Returns a row in which every other worker is slow. The mean of the logarithms is -0.02, and speeds are relative to it.
fn row(format: u32) -> Vec<u8> {
    let speed = |number: usize| {
        serde_json::json!([
            format!("w{number}"),
            0,
            if number.is_multiple_of(2) { -510 } else { 470 },
            60
        ])
    };
    let workers: Vec<_> = (0..2 * WORKERS).map(speed).collect();
    let row = serde_json::json!({ "format": format, "base_ms": 1, "workers": workers });
    row.to_string().into_bytes()
}

/// Guards against speeds that a new lease holder does not read, and against an older build that misreads those of a newer
/// one or does not start because of them.
#[rstest]
#[case::own_format(1, ["10", "61", "163", "163"])]
#[case::newer_format(2, ["0", "0", "0", "0"])]
#[actix_rt::test]
async fn stored_speeds_are_taken_over(#[case] format: u32, #[case] expected: [&str; 4]) {
    let store = FakeStore::default();
    *store.0.config.borrow_mut() = Some(config(&["k1"]));
    *store.0.workers.borrow_mut() = (0..2 * WORKERS).map(|number| worker(&format!("w{number}"))).collect();
    let place = Place {
        table: "worker_speeds",
        part: "lease".into(),
    };
    let former = Txn {
        puts: vec![Put {
            place,
            key: "0".into(),
            value: row(format),
        }],
        ..Txn::default()
    };
    store.transact(&former).await.expect("the store is empty");
    let (_node, handler) = start(&store).await;
    let value = |name: &str| {
        let page = handler.metrics().render();
        let prefix = format!("galenaspool_scheduler{{name=\"{name}\"}} ");
        let mut values = page.lines().filter_map(|line| line.strip_prefix(&prefix));
        values.next().unwrap_or_default().to_owned()
    };
    let deadline = Instant::now() + Duration::from_secs(5);
    while value("workers") != (2 * WORKERS).to_string() {
        assert!(Instant::now() < deadline, "{} workers are listed", value("workers"));
        sleep(Duration::from_millis(20)).await;
    }
    // Rows are read before the list of workers, and the next pass uses them.
    sleep(Duration::from_millis(300)).await;
    let names = [
        "known_speeds",
        "lowest_speed_percent",
        "median_speed_percent",
        "highest_speed_percent",
    ];
    while names.map(value) != expected && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(names.map(value), expected);
}
