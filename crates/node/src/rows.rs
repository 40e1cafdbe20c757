use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::ports::{OwnRow, Put};

/// Jobs as accepted, and wishes to cancel them.
pub(crate) const JOBS: &str = "jobs";
/// Progress of jobs, written by the holder of the scheduling lease.
pub(crate) const PROGRESS: &str = "progress";
/// Index of the jobs of which no task has started, by queue.
pub(crate) const QUEUED: &str = "queued";
/// Workers that may run tasks, with their addresses.
pub(crate) const USED_WORKERS: &str = "workers";
/// Scheduling lease: its epoch and its heartbeat.
pub(crate) const LEASE: &str = "lease";

/// Key of the row that changes with each epoch.
pub(crate) const EPOCH_KEY: &str = "epoch";
/// Key of the row that changes with each renewal.
pub(crate) const BEAT_KEY: &str = "beat";

const CANCEL_SUFFIX: &str = "/cancel";

/// Holder of the scheduling lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EpochRow {
    pub epoch: u64,
    pub holder: CompactString,
    /// Start of the holder's process, so that a restarted instance does not take its former self for the holder.
    pub holder_started_unix_ms: u64,
}

/// Heartbeat of the holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BeatRow {
    pub epoch: u64,
    pub beat: u64,
    /// The holder gave the lease up; anyone may take it at once.
    pub is_released: bool,
}

/// Meaning of a key in the table of jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum JobsKey {
    Job(CompactString),
    Cancel(CompactString),
}

impl JobsKey {
    pub fn parse(key: &str) -> Self {
        match key.strip_suffix(CANCEL_SUFFIX) {
            Some(id) => Self::Cancel(id.into()),
            None => Self::Job(key.into()),
        }
    }
}

pub(crate) fn cancel_key(id: &str) -> CompactString {
    format_compact!("{id}{CANCEL_SUFFIX}")
}

pub(crate) fn queued_key(route: &str, id: &str) -> CompactString {
    format_compact!("{route}/{id}")
}

/// Returns the bounds of a queue in its index; `0` is the byte after `/`.
pub(crate) fn queued_range(route: &str) -> (String, String) {
    (format!("{route}/"), format!("{route}0"))
}

/// Writes a value of the product's own types.
pub(crate) fn put<T: Serialize>(table: &'static str, key: impl Into<CompactString>, value: &T) -> Put {
    Put {
        table,
        key: key.into(),
        value: serde_json::to_vec(value).expect("rows have string keys and finite numbers"),
    }
}

/// Reads a value; a row that cannot be read is logged and counts as absent.
pub(crate) fn get<T: for<'a> Deserialize<'a>>(row: &OwnRow) -> Option<T> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(value) => Some(value),
        Err(error) => {
            spdlog::error!("row_unreadable", kv: {
                table = row.table.as_str(), key = row.key.as_str(), cause = error.to_string()
            });
            None
        }
    }
}
