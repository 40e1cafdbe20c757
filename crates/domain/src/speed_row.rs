use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{SpeedRowError, StoredSpeed};

/// Row with the speeds of many workers.
///
/// As stored, it is a JSON object: `format` (1), `base_ms` (earliest start of a process) and `workers`, an array of id,
/// start after `base_ms` in ms, logarithm of the factor and its deviation in thousandths each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpeedRow {
    /// Number of the row, which is its key.
    pub number: u32,
    /// Speeds.
    pub workers: Vec<StoredSpeed>,
}

#[derive(Deserialize)]
struct Header {
    format: u32,
}

#[derive(Serialize, Deserialize)]
struct Body {
    format: u32,
    base_ms: u64,
    workers: Vec<(CompactString, u64, i32, u32)>,
}

impl SpeedRow {
    /// Format version that this build writes, and the only one that it reads.
    pub const FORMAT: u32 = 1;

    /// Number of rows. A worker's row follows from its id, so that a change of few workers writes a few of the rows; with
    /// 960 workers, a row holds 60 of them in about 2 KB.
    pub const COUNT: u32 = 16;

    /// Maximum size of a row: three quarters of what the store takes, as it counts the encoded size.
    pub const MAX_BYTES: usize = 49_152;

    /// Returns the number of the row of a worker.
    pub fn number_of(worker: &str) -> u32 {
        let sum = worker
            .bytes()
            .fold(0_u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
        sum % Self::COUNT
    }

    /// Creates a row of as many of the speeds as certainly fit into it.
    pub fn new(number: u32, speeds: impl IntoIterator<Item = StoredSpeed>) -> Self {
        /// Bytes of the members of the object other than the workers.
        const HEADER_BYTES: usize = 80;
        /// Bytes of an entry without the id.
        const ENTRY_BYTES: usize = 45;
        /// Bytes of an escaped character in JSON.
        const ESCAPED_BYTES: usize = 6;
        let mut bytes = HEADER_BYTES;
        let workers = speeds.into_iter().take_while(|speed| {
            bytes += ENTRY_BYTES + ESCAPED_BYTES * speed.worker.len();
            bytes <= Self::MAX_BYTES
        });
        Self {
            number,
            workers: workers.collect(),
        }
    }

    /// Returns the value of the row.
    ///
    /// # Panics
    ///
    /// Never: the row has string keys and integers.
    pub fn encode(&self) -> Vec<u8> {
        let starts = self.workers.iter().map(|speed| speed.process_started_unix_ms);
        let base_ms = starts.min().unwrap_or(0);
        let entry = |speed: &StoredSpeed| {
            (
                speed.worker.clone(),
                speed.process_started_unix_ms - base_ms,
                speed.log_permille,
                speed.deviation_permille,
            )
        };
        let body = Body {
            format: Self::FORMAT,
            base_ms,
            workers: self.workers.iter().map(entry).collect(),
        };
        serde_json::to_vec(&body).expect("rows have string keys and integers")
    }

    /// Reads the value of a row.
    ///
    /// # Errors
    ///
    /// Returns [`SpeedRowError`] if the row has another format version or is malformed.
    pub fn decode(number: u32, value: &[u8]) -> Result<Self, SpeedRowError> {
        let Header { format } = serde_json::from_slice(value)?;
        if format != Self::FORMAT {
            return Err(SpeedRowError::UnknownFormat { format });
        }
        let body: Body = serde_json::from_slice(value)?;
        let speed = |(worker, after_ms, log_permille, deviation_permille)| StoredSpeed {
            worker,
            process_started_unix_ms: body.base_ms.saturating_add(after_ms),
            log_permille,
            deviation_permille,
        };
        Ok(Self {
            number,
            workers: body.workers.into_iter().map(speed).collect(),
        })
    }
}
