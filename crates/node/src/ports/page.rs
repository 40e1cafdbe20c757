use super::OwnRow;

/// Rows in order, with the version of the store at which they were read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Page<T> {
    /// What was read.
    pub items: Vec<T>,
    /// More follow.
    pub has_more: bool,
    /// Version of the store.
    pub version: u64,
}

/// Page of own rows.
pub type RowsPage = Page<OwnRow>;
