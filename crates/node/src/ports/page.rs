use super::OwnRow;

/// Ordered items, with the version of the store at which they were read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Page<T> {
    /// Items.
    pub items: Vec<T>,
    /// Whether more items follow.
    pub has_more: bool,
    /// Version of the store.
    pub version: u64,
}

/// Page of rows.
pub type RowsPage = Page<OwnRow>;
