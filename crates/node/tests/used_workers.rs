//! List of used workers: which workers a successor has to hear from before it starts older jobs again.

#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use node::{Place, Put, Store, Txn, TxnError};
use support::{FakeStore, config, start, worker};

fn changes_workers(txn: &Txn) -> bool {
    let is_worker = |table: &str| table == "workers";
    txn.puts.iter().any(|put| is_worker(put.place.table)) || txn.removes.iter().any(|(place, _)| is_worker(place.table))
}

/// Guards against a write without a reply that takes effect after a newer change of the list: it removed a worker that
/// was added again since, and a successor did not wait for that worker.
#[actix_rt::test]
async fn late_change_of_the_list_has_no_effect() {
    const WORKERS: usize = 50;
    let store = FakeStore::default();
    *store.0.config.borrow_mut() = Some(config(&["k1"]));
    *store.0.workers.borrow_mut() = (0..WORKERS).map(|number| worker(&format!("w{number}"))).collect();
    let (_node, _handler) = start(&store).await;
    let deadline = Instant::now() + Duration::from_secs(5);
    while store.keys("workers").len() < WORKERS {
        assert!(
            Instant::now() < deadline,
            "{} workers are listed",
            store.keys("workers").len()
        );
        sleep(Duration::from_millis(20)).await;
    }
    let changes: Vec<Txn> = store
        .0
        .txns
        .borrow()
        .iter()
        .filter(|txn| changes_workers(txn))
        .cloned()
        .collect();
    assert!(changes.len() > 1, "the workers were added in several writes");
    for txn in changes {
        let late = store.transact(&txn).await;
        assert!(matches!(late, Err(TxnError::Conflict(_))), "{late:?}");
    }
}

fn last_runs_row(store: &FakeStore) -> serde_json::Value {
    let row = store.value("last_runs", "w0").expect("the row exists");
    serde_json::from_slice(&row).expect("the row is JSON")
}

/// Guards against rows about silent workers that a successor does not read, or that a late write brings back: it would not
/// wait for what the worker has started since.
#[actix_rt::test]
async fn last_runs_are_taken_over_and_not_written_late() {
    let store = FakeStore::default();
    *store.0.config.borrow_mut() = Some(config(&["k1"]));
    let put = |table: &'static str, value: serde_json::Value| Put {
        place: Place {
            table,
            part: "lease".into(),
        },
        key: "w0".into(),
        value: value.to_string().into_bytes(),
    };
    let former = Txn {
        puts: vec![
            put("workers", "10.0.0.1:w0".into()),
            put(
                "last_runs",
                serde_json::json!({ "epoch": 0, "runs": [], "lease_left_ms": 6_000 }),
            ),
        ],
        ..Txn::default()
    };
    store.transact(&former).await.expect("the store is empty");
    let (_node, _handler) = start(&store).await;
    let deadline = Instant::now() + Duration::from_secs(5);
    while last_runs_row(&store)["epoch"] != 1 {
        assert!(Instant::now() < deadline, "{}", last_runs_row(&store));
        sleep(Duration::from_millis(20)).await;
    }
    let writes: Vec<Txn> = store.0.txns.borrow()[1..]
        .iter()
        .filter(|txn| txn.puts.iter().any(|put| put.place.table == "last_runs"))
        .cloned()
        .collect();
    assert_eq!(writes.len(), 1);
    let late = store.transact(&writes[0]).await;
    assert!(matches!(late, Err(TxnError::Conflict(_))), "{late:?}");
}
