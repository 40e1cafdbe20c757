use compact_str::CompactString;

/// Row of one of the product's tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnRow {
    /// Table.
    pub table: CompactString,
    /// Part of the table.
    pub part: CompactString,
    /// Key.
    pub key: CompactString,
    /// Value; `None` for a row that was removed.
    pub value: Option<Vec<u8>>,
    /// Version.
    pub version: u64,
}
