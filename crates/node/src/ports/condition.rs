use compact_str::CompactString;

use super::Place;

/// Version that a row must have for a transaction to take effect; 0 means that it does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Place of the row.
    pub place: Place,
    /// Key.
    pub key: CompactString,
    /// Version.
    pub version: u64,
}
