use compact_str::CompactString;

/// Row of one of the scheduler's own tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnRow {
    /// Table.
    pub table: CompactString,
    /// Part of the table.
    pub part: CompactString,
    /// Key.
    pub key: CompactString,
    /// Value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version.
    pub version: u64,
}
