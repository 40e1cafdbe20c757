use crate::{Row, StoreError, Txn, Urgency};

/// Transactional table of the platform.
#[expect(
    async_fn_in_trait,
    reason = "futures stay on the thread of the actor that awaits them"
)]
pub trait Table {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if the store does not reply.
    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`, in order of their keys.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if the store does not reply.
    async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, StoreError>;

    /// Commits a transaction and returns the new version of each row, in order of the puts.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; only [`StoreError::Unknown`] leaves open whether the write took effect.
    async fn commit(&self, txn: &Txn, urgency: Urgency) -> Result<Vec<u64>, StoreError>;
}
