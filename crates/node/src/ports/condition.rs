use compact_str::CompactString;

use super::Place;

/// Version that a row must have for a transaction to take effect; 0 if it must not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Place of the row.
    pub place: Place,
    /// Key.
    pub key: CompactString,
    /// Version.
    pub version: u64,
}
