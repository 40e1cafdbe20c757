//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Request, Response};
use crate::json::{Json, quote};
use crate::random::Random;
use crate::record::Record;

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, Row>,
    /// Version, table, part and key of each change, in order.
    log: Vec<(u64, Key)>,
    version: u64,
}

/// Writes whose replies are lost.
#[derive(Clone, Copy)]
pub struct LostReplies {
    /// Share of the writes, in percent.
    pub percent: u64,
    /// Shortest and longest time after which such a write is done.
    pub late_ms: (u64, u64),
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    lost: Mutex<Option<LostReplies>>,
    /// How often the open feeds of a table have gone silent.
    silenced: Mutex<HashMap<String, u64>>,
    random: Random,
    record: Arc<Record>,
    began: Instant,
}

/// Limits from the settings of the deployment.
const TXN_LATENCY: Duration = Duration::from_millis(3);
const ROW_BYTES: usize = 65_536;
const MAX_TXN_BYTES: usize = 1_000_000;
const MAX_TXN_ENTRIES: usize = 100;
const MAX_PAGE_ROWS: usize = 500;

impl Store {
    pub fn new(seed: u64, record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            lost: Mutex::new(None),
            silenced: Mutex::default(),
            random: Random::new(seed),
            record,
            began: Instant::now(),
        })
    }

    pub fn set_lost_replies(&self, lost: Option<LostReplies>) {
        *self.lost.lock().unwrap() = lost;
    }

    /// Lets the open connections that wait for changes of a table go silent; new ones work.
    pub fn silence_feeds(&self, table: &str) {
        *self.silenced.lock().unwrap().entry(table.to_owned()).or_default() += 1;
        let _rows = self.rows.lock().unwrap();
        self.changed.notify_all();
    }

    fn times_silenced(&self, table: &str) -> u64 {
        self.silenced.lock().unwrap().get(table).copied().unwrap_or(0)
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64::encode(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    /// Returns the text of a row with an empty part.
    pub fn text(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let row = rows.rows.get(&(table.to_owned(), String::new(), key.to_owned()))?;
        String::from_utf8(base64::decode(&row.value)).ok()
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.set((table.to_owned(), String::new(), key.to_owned()), value, version);
        self.changed.notify_all();
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/rows-tx") => self.transact(request),
            ("GET", "/api/rows-get") => self.read(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            _ => Response::Reply(404, "{}".into()),
        }
    }

    fn transact(self: &Arc<Self>, request: &Request) -> Response {
        thread::sleep(TXN_LATENCY);
        let Some(txn) = Json::parse(&request.body) else {
            return Response::Reply(400, r#"{"error":"the body is not JSON"}"#.into());
        };
        if let Some(refusal) = refusal(&txn, request.body.len()) {
            self.record.line(format!("store refuses a transaction: {refusal}"));
            return Response::Reply(400, format!(r#"{{"error":{}}}"#, quote(&refusal)));
        }
        let lost = *self.lost.lock().unwrap();
        if let Some(lost) = lost.filter(|lost| self.random.below(100) < lost.percent) {
            let (from, to) = lost.late_ms;
            let late_ms = from + self.random.below(to - from + 1);
            self.record.line(format!(
                "store loses the reply to a write and does it {late_ms} ms late: {}",
                summary(&txn)
            ));
            let store = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(late_ms));
                let is_done = store.apply(&txn).is_ok();
                let outcome = if is_done { "done" } else { "condition does not hold" };
                store.record.line(format!("late write: {outcome}: {}", summary(&txn)));
            });
            return Response::Silence;
        }
        let result = self.apply(&txn);
        let now_ms = self.began.elapsed().as_millis();
        match result {
            Ok(version) => Response::Reply(200, format!(r#"{{"row_version":{version},"now_ms":{now_ms}}}"#)),
            Err((rows, version)) => Response::Reply(
                412,
                format!(r#"{{"rows":[{rows}],"row_version":{version},"now_ms":{now_ms}}}"#),
            ),
        }
    }

    /// Applies a transaction; on a condition that does not hold, returns the current rows of the conditions.
    fn apply(&self, txn: &Json) -> Result<u64, (String, u64)> {
        let mut rows = self.rows.lock().unwrap();
        let holds = txn.list("expected_rev").iter().all(|condition| {
            let current = rows.rows.get(&key_of(condition)).map_or(0, |row| row.version);
            condition.number("row_version").unwrap_or(0) == current
        });
        if !holds {
            let current: Vec<_> = txn
                .list("expected_rev")
                .iter()
                .filter_map(|condition| {
                    let key = key_of(condition);
                    Some(row_json(&key, Some(rows.rows.get(&key)?), 0))
                })
                .collect();
            return Err((current.join(","), rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for put in txn.list("puts") {
            rows.set(key_of(put), Some(put.text("value").unwrap_or("").to_owned()), version);
        }
        for removed in txn.list("remove") {
            rows.set(key_of(removed), None, version);
        }
        self.changed.notify_all();
        Ok(version)
    }

    fn read(&self, request: &Request) -> Response {
        let (from, to) = (request.query_text("from"), request.query_text("target"));
        let limit = match request.query_number("limit") as usize {
            0 => MAX_PAGE_ROWS,
            limit => limit.min(MAX_PAGE_ROWS),
        };
        let (table, part) = (request.query_text("table"), request.query_text("part"));
        let rows = self.rows.lock().unwrap();
        let first: Key = (table.into(), part.into(), from.into());
        let mut found = rows
            .rows
            .range(first..)
            .take_while(|(key, _)| key.0 == table && key.1 == part && (to.is_empty() || key.2.as_str() < to))
            .map(|(key, row)| row_json(key, Some(row), 0));
        let page: Vec<_> = found.by_ref().take(limit).collect();
        let has_more = found.next().is_some();
        Response::Reply(
            200,
            format!(
                r#"{{"rows":[{}],"has_more":{has_more},"row_version":{},"now_ms":{}}}"#,
                page.join(","),
                rows.version,
                self.began.elapsed().as_millis()
            ),
        )
    }

    fn feed(&self, request: &Request) -> Response {
        let (table, after) = (request.query_text("table"), request.query_number("after"));
        let until = Instant::now() + Duration::from_millis(request.query_number("wait_ms").min(30_000));
        let times_silenced = self.times_silenced(table);
        let mut rows = self.rows.lock().unwrap();
        loop {
            if self.times_silenced(table) != times_silenced {
                self.record.line(format!(
                    "an open connection that waits for changes of {table} goes silent"
                ));
                return Response::Silence;
            }
            let from = rows.log.partition_point(|(version, _)| *version <= after);
            let mut seen = HashSet::new();
            // The newest change of each row, in the order of the versions.
            let mut changed: Vec<_> = rows.log[from..]
                .iter()
                .rev()
                .filter(|(_, key)| key.0 == table && seen.insert(key))
                .collect();
            changed.reverse();
            let now = Instant::now();
            if changed.is_empty() && now < until {
                rows = self.changed.wait_timeout(rows, until - now).unwrap().0;
                continue;
            }
            let mut version = rows.version;
            if changed.len() > MAX_PAGE_ROWS {
                version = changed[MAX_PAGE_ROWS - 1].0;
                changed.retain(|(changed, _)| *changed <= version);
            }
            let page: Vec<_> = changed
                .iter()
                .map(|(changed, key)| row_json(key, rows.rows.get(key), *changed))
                .collect();
            return Response::Reply(
                200,
                format!(
                    r#"{{"rows":[{}],"row_version":{version},"now_ms":{}}}"#,
                    page.join(","),
                    self.began.elapsed().as_millis()
                ),
            );
        }
    }
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<String>, version: u64) {
        match value {
            Some(value) => {
                self.rows.insert(key.clone(), Row { value, version });
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.log.push((version, key));
    }
}

fn key_of(entry: &Json) -> Key {
    let text = |name| entry.text(name).unwrap_or("").to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(key: &Key, row: Option<&Row>, removed_version: u64) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    match row {
        Some(row) => format!(
            r#"{{"table":{table},"part":{part},"key":{name},"value":"{}","row_version":{}}}"#,
            row.value, row.version
        ),
        None => {
            format!(r#"{{"table":{table},"part":{part},"key":{name},"deleted":true,"row_version":{removed_version}}}"#)
        }
    }
}

/// Returns why the store takes nothing of a transaction.
fn refusal(txn: &Json, bytes: usize) -> Option<String> {
    let entries = txn.list("expected_rev").len() + txn.list("puts").len() + txn.list("remove").len();
    if entries > MAX_TXN_ENTRIES || bytes > MAX_TXN_BYTES {
        return Some(format!("{entries} entries, {bytes} bytes"));
    }
    let mut puts = txn.list("puts").iter();
    let too_large = puts.find(|put| base64::decoded_len(put.text("value").unwrap_or("")) > ROW_BYTES)?;
    let key = key_of(too_large);
    let bytes = base64::decoded_len(too_large.text("value").unwrap_or(""));
    Some(format!(
        "row {}/{} has {bytes} bytes of at most {ROW_BYTES}",
        key.0, key.2
    ))
}

/// Returns the rows that a transaction writes, with the values of short ones.
fn summary(txn: &Json) -> String {
    let puts = txn.list("puts").iter().map(|put| {
        let key = key_of(put);
        let value = base64::decode(put.text("value").unwrap_or(""));
        let value = String::from_utf8_lossy(&value).into_owned();
        let shown = if value.len() > 12 { "..." } else { value.as_str() };
        format!("{}/{}={shown}", key.0, key.2)
    });
    puts.collect::<Vec<_>>().join(" ")
}
