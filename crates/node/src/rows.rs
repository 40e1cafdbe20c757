use compact_str::{CompactString, format_compact};
use domain::{RunRecord, SpeedRow, WaveRow};
use serde::{Deserialize, Serialize};

use crate::ports::{OwnRow, Place, Put};

/// Jobs as accepted, and cancellation requests. Stored in the part given by the job id.
pub(crate) const JOBS: &str = "jobs";
/// Progress of jobs, written by the lease holder. Stored in the part of the job.
pub(crate) const PROGRESS: &str = "progress";
/// Records of ended runs, in immutable rows `{job}/{epoch}.{number}`. Stored in the part of the job.
pub(crate) const RUNS: &str = "runs";
/// Number of jobs per queue of which no task has started, written by the lease holder.
pub(crate) const PENDING: &str = "pending";
/// Workers that may have running tasks, with their addresses.
pub(crate) const USED_WORKERS: &str = "workers";
/// Revision of the rows that the lease holder writes without a condition on their own versions. Each such write is
/// conditional on it, so that one without a reply cannot take effect after a newer one.
pub(crate) const HOLDER_REVISION: &str = "workers_revision";
/// Runs that may be on workers.
pub(crate) const LAST_RUNS: &str = "last_runs";
/// Start bound: newest version up to which jobs may have been started, written by the lease holder before their first
/// start. In a table of its own, since each change of the lease table wakes all instances.
pub(crate) const START_BOUND: &str = "start_bound";
/// Facts about maintenance waves `{wave}` and their machines `{wave}/{machine}`, written by the lease holder.
pub(crate) const WAVES: &str = "waves";
/// Estimated speeds of workers, many in one row; the format is that of [`SpeedRow`].
pub(crate) const WORKER_SPEEDS: &str = "worker_speeds";
/// Failures of schedulers while they handled a job, in rows `{job}`. In a table of its own: they are read before any job.
pub(crate) const JOB_FAILURES: &str = "job_failures";
/// Scheduling lease: its epoch and heartbeat.
pub(crate) const LEASE: &str = "lease";

/// Number of parts of the job tables if transactions may span parts. A slow store commits few transactions per second
/// in each part, so submissions must not queue behind each other or behind writes of the lease.
const JOB_PARTS: u64 = 8;
const LEASE_PART: &str = "lease";

/// Distribution of the tables over parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Parts {
    /// Whether transactions may span parts; otherwise all rows are in one part.
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

    /// Returns the place of rows that only the lease holder writes.
    pub fn of_lease_holder(self, table: &'static str) -> Place {
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
/// Key of the row with the revision of rows without versions.
pub(crate) const HOLDER_REVISION_KEY: &str = "revision";
/// Key of the row with the start bound.
pub(crate) const START_BOUND_KEY: &str = "version";
/// Key of the newest claim of a larger instance.
pub(crate) const CLAIM_KEY: &str = "claim";
/// Key of the row that changes with each renewal.
pub(crate) const HEARTBEAT_KEY: &str = "beat";

const CANCEL_SUFFIX: &str = "/cancel";

/// Current holder of the scheduling lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EpochRow {
    pub epoch: u64,
    pub holder: CompactString,
    /// Start time of the holder's process; tells a restarted instance apart from its previous incarnation.
    pub holder_started_unix_ms: u64,
    /// CPU share of the holder in thousandths of a core; 0 if the holder did not state it.
    #[serde(default)]
    pub holder_cpu_milli: u64,
}

/// Claim of an instance with much more processor time than the lease holder. The holder answers it by releasing the
/// lease; the claim itself gives no right.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRow {
    /// Epoch whose holder should hand over.
    pub epoch: u64,
    pub instance: CompactString,
}

/// Heartbeat of the lease holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeartbeatRow {
    pub epoch: u64,
    pub beat: u64,
    /// The holder has released the lease; another instance may take it over at once.
    pub is_released: bool,
    /// All schedulers before this holder have certainly stopped acting.
    #[serde(default)]
    pub is_settled: bool,
}

/// Records of runs of a job, with the fields that billing needs after the job's own rows have been removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecordsRow {
    pub organisation: CompactString,
    pub route: CompactString,
    pub runs: Vec<RunRecord>,
}

/// Parsed key of the jobs table.
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

/// Returns the key of a records row of a job.
pub(crate) fn records_key(job: &str, epoch: u64, number: u32) -> CompactString {
    format_compact!("{job}/{epoch}.{number}")
}

/// Returns the key range of all records of a job, with an exclusive end.
pub(crate) fn records_range(job: &str) -> (String, String) {
    (format!("{job}/"), format!("{job}0"))
}

pub(crate) fn cancel_key(id: &str) -> CompactString {
    format_compact!("{id}{CANCEL_SUFFIX}")
}

/// Returns the key of a row about a maintenance wave.
pub(crate) fn wave_key(row: &WaveRow) -> CompactString {
    match &row.machine {
        Some(machine) => format_compact!("{}/{machine}", row.wave),
        None => format_compact!("{}", row.wave),
    }
}

/// Decodes a row about a maintenance wave.
pub(crate) fn wave_row(row: &OwnRow) -> Option<WaveRow> {
    let (wave, machine) = match row.key.split_once('/') {
        Some((wave, machine)) => (wave, Some(machine.into())),
        None => (row.key.as_str(), None),
    };
    Some(WaveRow {
        wave: wave.parse().ok()?,
        machine,
        fact: decode(row)?,
    })
}

/// Builds the write of a row with the speeds of workers.
pub(crate) fn put_speeds(place: Place, row: &SpeedRow) -> Put {
    Put {
        place,
        key: format_compact!("{}", row.number),
        value: row.encode(),
    }
}

/// Decodes a row with the speeds of workers. One of another format version, or one that cannot be read, is logged and
/// ignored.
pub(crate) fn speed_row(row: &OwnRow) -> Option<SpeedRow> {
    let number = row.key.parse().ok()?;
    match SpeedRow::decode(number, row.value.as_ref()?) {
        Ok(row) => Some(row),
        Err(error) => {
            spdlog::warn!("worker_speeds_unreadable", kv: { key = row.key.as_str(), cause = error.to_string() });
            None
        }
    }
}

/// Builds the write of a row with a JSON value.
pub(crate) fn put<T: Serialize>(place: Place, key: impl Into<CompactString>, value: &T) -> Put {
    Put {
        place,
        key: key.into(),
        value: serde_json::to_vec(value).expect("rows have string keys and finite numbers"),
    }
}

/// Decodes the value of a row. An undecodable row is logged and treated as absent.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(row: &OwnRow) -> Option<T> {
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
