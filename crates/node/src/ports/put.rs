use compact_str::CompactString;

use super::Place;

/// Row to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// Place of the row.
    pub place: Place,
    /// Key.
    pub key: CompactString,
    /// Value.
    pub value: Vec<u8>,
}
