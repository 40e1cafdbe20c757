use super::{FeedError, OperatorPage, Place, RowsPage, StoreError, Txn, TxnError, WorkerPage};

/// Transactional store of the platform, with its list of workers and the operators' settings.
#[expect(async_fn_in_trait, reason = "futures stay on the thread of the instance")]
pub trait Store: 'static {
    /// Commits a transaction and returns the version of the rows written.
    ///
    /// # Errors
    ///
    /// Returns [`TxnError`]; after [`TxnError::Unknown`] alone the transaction may have taken effect.
    async fn transact(&self, txn: &Txn) -> Result<u64, TxnError>;

    /// Checks with a short call on a fresh connection whether the store answers.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if it does not.
    async fn probe(&self) -> Result<(), StoreError>;

    /// Reads rows of a part from `from` up to but excluding `to`; an empty bound is open.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not answer.
    async fn read(&self, place: &Place, from: &str, to: &str) -> Result<RowsPage, StoreError>;

    /// Waits up to `wait_ms` for changes of rows in all parts of a table after a version.
    ///
    /// # Errors
    ///
    /// Returns [`FeedError`].
    async fn changes(&self, table: &'static str, after: u64, wait_ms: u64) -> Result<RowsPage, FeedError>;

    /// Reads all settings of the operators.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not answer.
    async fn operator_state(&self) -> Result<OperatorPage, StoreError>;

    /// Waits up to `wait_ms` for changes by the operators after a version.
    ///
    /// # Errors
    ///
    /// Returns [`FeedError`].
    async fn operator_changes(&self, after: u64, wait_ms: u64) -> Result<OperatorPage, FeedError>;

    /// Reads the list of workers.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not answer.
    async fn worker_list(&self) -> Result<WorkerPage, StoreError>;

    /// Waits up to `wait_ms` for changes of the list of workers after a version.
    ///
    /// # Errors
    ///
    /// Returns [`FeedError`].
    async fn worker_changes(&self, after: u64, wait_ms: u64) -> Result<WorkerPage, FeedError>;
}
