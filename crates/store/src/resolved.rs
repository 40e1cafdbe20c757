use crate::Row;

/// What became of a transaction that may have been read back.
#[derive(Debug, Clone, PartialEq)]
pub enum Resolved {
    /// The transaction took effect.
    Written {
        /// New version of each row, in order of the puts.
        versions: Vec<u64>,
    },
    /// The reply was lost and another write changed a row since; the rows must tell the caller whether this
    /// transaction took effect before.
    Superseded {
        /// Rows as they are now, in order of the puts.
        rows: Vec<Option<Row>>,
    },
}
