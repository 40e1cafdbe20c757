use compact_str::CompactString;

/// Table and part of a row. The store serialises the transactions of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Table.
    pub table: &'static str,
    /// Part of the table.
    pub part: CompactString,
}
