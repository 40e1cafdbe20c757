//! List of used workers: which workers a successor has to hear from before it starts older jobs again.

#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use domain::{EntryState, Resources, WorkerEntry};
use node::{Store, Txn, TxnError};
use support::{FakeStore, config, start};

fn worker(id: &str) -> WorkerEntry {
    WorkerEntry {
        id: id.into(),
        address: format!("10.0.0.1:{id}").into(),
        service: "valuation".into(),
        data_centre: "dc1".into(),
        rack: "r1".into(),
        labels: Vec::new(),
        capacity: Resources {
            cpu_milli: 32_000,
            memory_mib: 65_536,
            accelerators: 8,
        },
        state: EntryState::Ready,
        process_started_unix_ms: Some(1),
    }
}

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
