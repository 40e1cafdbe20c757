use compact_str::CompactString;
use speed::Speed;

/// Speed of a process of a worker in the form in which it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSpeed {
    /// Id of the worker.
    pub worker: CompactString,
    /// Start of the process; a later process under the same id may be on another machine.
    pub process_started_unix_ms: u64,
    /// Natural logarithm of the factor, in thousandths.
    pub log_permille: i32,
    /// Standard deviation of the logarithm, in thousandths.
    pub deviation_permille: u32,
}

impl StoredSpeed {
    /// Factors beyond `exp(±3)` are not speeds of workers, and their deviations would mislead the model.
    const MAX_LOG_PERMILLE: u32 = 3_000;

    /// Smallest change of the logarithm that is worth a write.
    const MATERIAL_LOG_PERMILLE: u32 = 50;

    /// Creates it from an estimate.
    pub fn new(worker: CompactString, process_started_unix_ms: u64, speed: Speed) -> Self {
        Self {
            worker,
            process_started_unix_ms,
            log_permille: (speed.log_factor * 1_000.0).round() as i32,
            deviation_permille: (speed.deviation * 1_000.0).round() as u32,
        }
    }

    /// Returns the estimate; `None` if the stored numbers are out of range.
    pub fn speed(&self) -> Option<Speed> {
        let is_plausible = self.deviation_permille > 0 && self.log_permille.unsigned_abs() <= Self::MAX_LOG_PERMILLE;
        is_plausible.then(|| Speed {
            log_factor: f64::from(self.log_permille) / 1_000.0,
            deviation: f64::from(self.deviation_permille) / 1_000.0,
        })
    }

    /// Returns whether this estimate has to replace an older one in the store: that of another process, one that is off by
    /// more than its deviation, or one that is much less certain. Smaller changes are noise.
    pub fn differs_materially_from(&self, older: &Self) -> bool {
        let change = self.log_permille.abs_diff(older.log_permille);
        self.process_started_unix_ms != older.process_started_unix_ms
            || change > older.deviation_permille.max(Self::MATERIAL_LOG_PERMILLE)
            || self.deviation_permille * 5 < older.deviation_permille * 3
    }
}
