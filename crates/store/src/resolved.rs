use crate::Row;

/// Outcome of a transaction, determined from its reply or by reading it back.
#[derive(Debug, Clone, PartialEq)]
pub enum Resolved {
    /// The transaction took effect.
    Written {
        /// New version of each row, in order of the puts.
        versions: Vec<u64>,
    },
    /// The reply was lost and another write has changed a row since; the caller has to determine from the rows whether
    /// this transaction took effect before.
    Superseded {
        /// Current rows, in order of the puts.
        rows: Vec<Option<Row>>,
    },
}
