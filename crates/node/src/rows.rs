use compact_str::{CompactString, format_compact};
use domain::RunRecord;
use serde::{Deserialize, Serialize};

use crate::ports::{OwnRow, Place, Put};

/// Jobs as accepted, and wishes to cancel them. A job lies in the part of its id.
pub(crate) const JOBS: &str = "jobs";
/// Progress of jobs, written by the holder of the scheduling lease. Lies in the part of its job.
pub(crate) const PROGRESS: &str = "progress";
/// Records of runs that ended, in rows `{job}/{epoch}.{number}` that never change. Lies in the part of its job.
pub(crate) const RUNS: &str = "runs";
/// Jobs of which no task has started, counted by queue; written by the holder.
pub(crate) const PENDING: &str = "pending";
/// Workers that may run tasks, with their addresses.
pub(crate) const USED_WORKERS: &str = "workers";
/// Newest version up to which jobs may have been started; written by the holder before their first start. Not in the
/// table of the lease, whose changes wake all instances.
pub(crate) const START_BOUND: &str = "start_bound";
/// Scheduling lease: its epoch and its heartbeat.
pub(crate) const LEASE: &str = "lease";

/// Parts of the tables with jobs, where the store allows transactions over several parts. A slow store runs few
/// transactions a second in each part, so acceptances must not queue behind each other or behind the lease.
const JOB_PARTS: u64 = 8;
const LEASE_PART: &str = "lease";

/// Parts of the product's tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Parts {
    /// Whether transactions may span parts; without, everything lies in one.
    pub is_split: bool,
}

impl Parts {
    /// Returns the place of a job's rows.
    pub fn of_job(self, table: &'static str, id: &str) -> Place {
        let part = if self.is_split {
            let sum = id
                .bytes()
                .fold(0_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
            Self::name(sum % JOB_PARTS)
        } else {
            CompactString::default()
        };
        Place { table, part }
    }

    /// Returns the places of all jobs' rows.
    pub fn of_jobs(self, table: &'static str) -> Vec<Place> {
        let count = if self.is_split { JOB_PARTS } else { 1 };
        let part = |number| {
            if self.is_split {
                Self::name(number)
            } else {
                CompactString::default()
            }
        };
        (0..count)
            .map(|number| Place {
                table,
                part: part(number),
            })
            .collect()
    }

    /// Returns the place of rows that only the holder writes.
    pub fn of_holder(self, table: &'static str) -> Place {
        let part = if self.is_split {
            LEASE_PART.into()
        } else {
            CompactString::default()
        };
        Place { table, part }
    }

    fn name(number: u64) -> CompactString {
        format_compact!("j{number}")
    }
}

/// Key of the row that changes with each epoch.
pub(crate) const EPOCH_KEY: &str = "epoch";
/// Key of the only row in its table.
pub(crate) const START_BOUND_KEY: &str = "version";
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

/// Records of runs of a job, with what a charge needs once the job's own rows are gone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecordsRow {
    pub organisation: CompactString,
    pub route: CompactString,
    pub runs: Vec<RunRecord>,
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

/// Returns the key of a row of records of a job.
pub(crate) fn records_key(job: &str, epoch: u64, number: u32) -> CompactString {
    format_compact!("{job}/{epoch}.{number}")
}

/// Returns the range of keys of all records of a job: from, and the first key behind.
pub(crate) fn records_range(job: &str) -> (String, String) {
    (format!("{job}/"), format!("{job}0"))
}

pub(crate) fn cancel_key(id: &str) -> CompactString {
    format_compact!("{id}{CANCEL_SUFFIX}")
}

/// Writes a value of the product's own types.
pub(crate) fn put<T: Serialize>(place: Place, key: impl Into<CompactString>, value: &T) -> Put {
    Put {
        place,
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
