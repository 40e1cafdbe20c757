use std::collections::HashMap;

use compact_str::CompactString;
use indexmap::IndexSet;

use super::Engine;
use super::keys::WorkerKey;
use crate::{Commit, SpeedRow, StoredSpeed};

/// What the store holds of the speeds of workers.
#[derive(Debug, Clone, Default)]
pub(super) struct SpeedRows {
    /// Speeds that are durable.
    durable: HashMap<CompactString, StoredSpeed>,
    /// Speeds that former schedulers wrote, of workers that are not listed yet.
    former: HashMap<CompactString, StoredSpeed>,
    /// Starts of the processes whose speeds were taken over.
    imported: HashMap<WorkerKey, u64>,
    /// Rows with material changes, in the order in which they became due.
    due: IndexSet<u32>,
    /// Since when rows are due.
    due_since_ms: u64,
    next_write_ms: u64,
}

impl SpeedRows {
    pub fn forget(&mut self, worker: WorkerKey) {
        self.imported.remove(&worker);
    }
}

/// Durable speeds of workers. Losing them costs a successor the time in which it learns them again, so that no other write
/// waits for them and none is repeated at once.
impl Engine {
    /// Least interval between writes of speeds.
    const SPEED_WRITE_INTERVAL_MS: u64 = 2_000;

    /// Time for which material changes wait for another write that they can join.
    const SPEED_JOIN_MS: u64 = 10_000;

    /// Time after a takeover for which the speeds of workers that are not listed are kept.
    const FORMER_SPEEDS_MS: u64 = 60_000;

    /// Adds the speeds that former schedulers wrote.
    pub fn add_speed_rows(&mut self, rows: Vec<SpeedRow>) {
        let count = rows.len();
        let speeds = rows.into_iter().flat_map(|row| row.workers);
        let former: HashMap<_, _> = speeds.map(|speed| (speed.worker.clone(), speed)).collect();
        let workers = former.len();
        self.log_lines
            .push(format!("worker_speeds_read rows={count} workers={workers}"));
        self.speeds.rows.durable.clone_from(&former);
        self.speeds.rows.former = former;
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            self.import_speed(key);
        }
    }

    /// Takes over the speed of a worker if it is of the process that is listed or has reported, and drops one that is not.
    pub(super) fn import_speed(&mut self, key: WorkerKey) {
        let rows = &mut self.speeds.rows;
        if rows.former.is_empty() && rows.imported.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get(key) else { return };
        let listed = worker.entry.process_started_unix_ms;
        let Some(started_unix_ms) = worker.process_started_unix_ms.or(listed) else {
            return;
        };
        if rows.imported.get(&key).is_some_and(|known| *known != started_unix_ms) {
            // The entry was that of a former process.
            self.forget_speed(key);
            return;
        }
        let is_same = |former: &StoredSpeed| former.process_started_unix_ms == started_unix_ms;
        if !rows.former.get(&worker.entry.id).is_some_and(is_same) {
            return;
        }
        let Some(speed) = rows.former.remove(&worker.entry.id).and_then(|former| former.speed()) else {
            return;
        };
        rows.imported.insert(key, started_unix_ms);
        self.speeds.import(key, speed);
    }

    /// Determines which rows are due after the estimates or the durable rows have changed.
    pub(super) fn note_speed_changes(&mut self, now_ms: u64) {
        if now_ms > self.took_over_ms + Self::FORMER_SPEEDS_MS {
            self.speeds.rows.former.clear();
        }
        let durable = &self.speeds.rows.durable;
        let changed = self.known_speeds().filter(|speed| {
            let older = durable.get(&speed.worker);
            older.is_none_or(|older| speed.differs_materially_from(older))
        });
        let due: IndexSet<u32> = changed.map(|speed| SpeedRow::number_of(&speed.worker)).collect();
        let rows = &mut self.speeds.rows;
        if rows.due.is_empty() {
            rows.due_since_ms = now_ms;
        }
        rows.due.retain(|number| due.contains(number));
        rows.due.extend(due);
    }

    /// Returns the reliable estimates of all workers.
    fn known_speeds(&self) -> impl Iterator<Item = StoredSpeed> + '_ {
        self.speeds.reliable().filter_map(|(key, speed)| {
            let worker = self.workers.get(key)?;
            let listed = worker.entry.process_started_unix_ms;
            let started_unix_ms = worker.process_started_unix_ms.or(listed)?;
            Some(StoredSpeed::new(worker.entry.id.clone(), started_unix_ms, speed))
        })
    }

    /// Returns whether rows have waited long enough for a write that they could join.
    pub(super) fn are_speed_rows_overdue(&self, now_ms: u64) -> bool {
        let rows = &self.speeds.rows;
        !rows.due.is_empty() && now_ms >= rows.next_write_ms.max(rows.due_since_ms + Self::SPEED_JOIN_MS)
    }

    /// Adds the rows that are due to a write that has room for them.
    pub(super) fn add_speed_rows_to(&mut self, commit: &mut Commit, now_ms: u64) {
        if self.speeds.rows.due.is_empty() || now_ms < self.speeds.rows.next_write_ms {
            return;
        }
        // Also after a failure, so that rows which the store refuses hold up nothing.
        self.speeds.rows.next_write_ms = now_ms + Self::SPEED_WRITE_INTERVAL_MS;
        let mut bytes = 0;
        for number in &self.speeds.rows.due {
            let row = self.speed_row(*number);
            bytes += row.encode().len();
            if commit.entries() + Commit::REVISION_ENTRIES >= Commit::MAX_ENTRIES || bytes > SpeedRow::MAX_BYTES {
                break;
            }
            commit.speed_rows.push(row);
        }
    }

    /// Returns a row with the estimates of this scheduler and those of former ones whose workers are not listed yet.
    fn speed_row(&self, number: u32) -> SpeedRow {
        let is_in_row = |speed: &StoredSpeed| SpeedRow::number_of(&speed.worker) == number;
        let mut speeds: Vec<_> = self.known_speeds().filter(is_in_row).collect();
        let known: std::collections::HashSet<_> = speeds.iter().map(|speed| speed.worker.clone()).collect();
        let former = self.speeds.rows.former.values().filter(|speed| is_in_row(speed));
        speeds.extend(former.filter(|speed| !known.contains(&speed.worker)).cloned());
        SpeedRow::new(number, speeds)
    }

    /// Takes note of a write of rows that may have taken effect or may do so later: all of them are due again.
    pub(super) fn speed_rows_in_doubt(&mut self, written: &[SpeedRow], now_ms: u64) {
        for row in written {
            let is_other = |worker: &CompactString| SpeedRow::number_of(worker) != row.number;
            self.speeds.rows.durable.retain(|worker, _| is_other(worker));
        }
        if !written.is_empty() {
            self.note_speed_changes(now_ms);
        }
    }

    /// Takes note of rows that are durable.
    pub(super) fn speed_rows_written(&mut self, written: &[SpeedRow], now_ms: u64) {
        if written.is_empty() {
            return;
        }
        let rows = &mut self.speeds.rows;
        for row in written {
            let is_other = |worker: &CompactString| SpeedRow::number_of(worker) != row.number;
            rows.durable.retain(|worker, _| is_other(worker));
            let speeds = row.workers.iter();
            rows.durable
                .extend(speeds.map(|speed| (speed.worker.clone(), speed.clone())));
            rows.due.shift_remove(&row.number);
        }
        self.note_speed_changes(now_ms);
    }
}
