//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, base64, quote};

type Key = (String, String, String);

struct Change {
    version: u64,
    key: Key,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (String, u64)>,
    changes: Vec<Change>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    const LATENCY: Duration = Duration::from_millis(3);
    const PAGE_ROWS: usize = 500;
    const MAX_ENTRIES: usize = 100;
    const MAX_BYTES: usize = 1_000_000;
    /// Longest value in bytes; it arrives in base64.
    const ROW_BYTES: usize = 65_536;

    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row in place of the operator or the platform.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state();
        state.version += 1;
        state.write(
            (table.into(), String::new(), key.into()),
            Some(base64(value.as_bytes())),
        );
        self.changed.notify_all();
    }

    /// Removes a row in place of the platform.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state();
        state.version += 1;
        state.write((table.into(), String::new(), key.into()), None);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/api/rows-tx" => self.transact(&request.body),
            "/api/rows-get" => self.read(request),
            "/api/rows-feed" => self.feed(request),
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn transact(&self, body: &[u8]) -> Reply {
        thread::sleep(Self::LATENCY);
        let Some(txn) = Json::parse(body) else {
            return Reply::Answer(400, "{}".into());
        };
        let key_of = |row: &Json| {
            (
                row.text("table").into(),
                row.text("part").into(),
                row.text("key").into(),
            )
        };
        let (expected, puts, removes) = (txn.list("expected_rev"), txn.list("puts"), txn.list("remove"));
        let is_foreign = |row: &Json| matches!(row.text("table"), "op" | "servers");
        if puts.iter().chain(removes).any(is_foreign) {
            return Reply::Answer(403, "{}".into());
        }
        let is_too_large = puts
            .iter()
            .any(|row| row.text("value").len() > Self::ROW_BYTES.div_ceil(3) * 4);
        if expected.len() + puts.len() + removes.len() > Self::MAX_ENTRIES
            || body.len() > Self::MAX_BYTES
            || is_too_large
        {
            return Reply::Answer(400, "{}".into());
        }
        let mut state = self.state();
        let holds = |row: &Json| state.version_of(&key_of(row)) == row.number("row_version").unwrap_or(0);
        if !expected.iter().all(holds) {
            let mut rows = Vec::new();
            for row in expected {
                let key = key_of(row);
                if let Some((value, version)) = state.rows.get(&key) {
                    rows.push(row_text(&key, value, *version, false));
                }
            }
            return Reply::Answer(412, self.rows_text(&rows, false, state.version));
        }
        state.version += 1;
        for row in puts {
            state.write(key_of(row), Some(row.text("value").into()));
        }
        for row in removes {
            state.write(key_of(row), None);
        }
        self.changed.notify_all();
        Reply::Answer(
            200,
            format!("{{\"row_version\":{},\"now_ms\":{}}}", state.version, self.now_ms()),
        )
    }

    fn read(&self, request: &Request) -> Reply {
        thread::sleep(Self::LATENCY);
        let limit = request
            .query("limit")
            .parse()
            .unwrap_or(Self::PAGE_ROWS)
            .min(Self::PAGE_ROWS);
        let (table, part, target) = (request.query("table"), request.query("part"), request.query("target"));
        let state = self.state();
        let from: Key = (table.into(), part.into(), request.query("from").into());
        let mut rows: Vec<_> = state
            .rows
            .range(from..)
            .take_while(|((of, in_part, key), _)| {
                of == table && in_part == part && (target.is_empty() || key.as_str() < target)
            })
            .take(limit + 1)
            .map(|(key, (value, version))| row_text(key, value, *version, false))
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        Reply::Answer(200, self.rows_text(&rows, has_more, state.version))
    }

    fn feed(&self, request: &Request) -> Reply {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let table = request.query("table");
        let mut state = self.state();
        loop {
            let first = state.changes.partition_point(|change| change.version <= after);
            let rows: Vec<_> = state.changes[first..]
                .iter()
                .filter(|change| change.key.0 == table)
                .map(|change| {
                    let value = change.value.as_deref();
                    row_text(&change.key, value.unwrap_or(""), change.version, value.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Reply::Answer(200, self.rows_text(&rows, false, state.version));
            }
            let (next, _) = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner);
            state = next;
        }
    }

    fn rows_text(&self, rows: &[String], has_more: bool, version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"row_version\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }
}

impl State {
    fn version_of(&self, key: &Key) -> u64 {
        self.rows.get(key).map_or(0, |(_, version)| *version)
    }

    fn write(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (value.clone(), version));
            }
            None => {
                if self.rows.remove(&key).is_none() {
                    return;
                }
            }
        }
        self.changes.push(Change { version, key, value });
    }
}

fn row_text((table, part, key): &Key, value: &str, version: u64, is_deleted: bool) -> String {
    let mut text = format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"row_version\":{version}",
        quote(table),
        quote(part),
        quote(key)
    );
    if is_deleted {
        text.push_str(",\"deleted\":true}");
    } else {
        let _ = write!(text, ",\"value\":{}}}", quote(value));
    }
    text
}
