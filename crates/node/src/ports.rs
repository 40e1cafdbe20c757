use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;
use domain::{
    Config, Machine, StartOrder, StartOutcome, TaskRun, UpkeepReply, Wave, WaveProgress, WorkerEntry, WorkerReport,
};
use thiserror::Error;

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

/// Table and part of a row. The store serialises the transactions of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Table.
    pub table: &'static str,
    /// Part of the table.
    pub part: CompactString,
}

/// Version that a row must have for a transaction to take effect; 0 means that it does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Place of the row.
    pub place: Place,
    /// Key.
    pub key: CompactString,
    /// Version.
    pub version: u64,
}

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

/// Transaction: all of it takes effect, or nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Versions of own rows.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Waves of upkeep whose progress operators should see.
    pub waves: Vec<(u64, WaveProgress)>,
    /// Rows to remove.
    pub removes: Vec<(Place, CompactString)>,
}

impl Txn {
    /// Returns whether the rows lie in more than one part.
    pub fn spans_parts(&self) -> bool {
        let conditions = self.conditions.iter().map(|condition| &condition.place.part);
        let puts = self.puts.iter().map(|put| &put.place.part);
        let removes = self.removes.iter().map(|(place, _)| &place.part);
        let mut parts = conditions.chain(puts).chain(removes);
        let first = parts.next();
        parts.any(|part| Some(part) != first) || !self.waves.is_empty()
    }
}

/// Failure of a transaction.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum TxnError {
    /// A condition does not hold; nothing was written. Holds the rows of the conditions as they are.
    #[error("a condition does not hold")]
    Conflict(Vec<OwnRow>),
    /// Nothing was written.
    #[error("store refuses the write: {0}")]
    NotDone(CompactString),
    /// No reply: it may have taken effect, or may later.
    #[error("no reply from the store to a write")]
    Unknown,
}

/// Failure of a read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store refuses the read.
    #[error("store refuses the read: {0}")]
    Refused(CompactString),
    /// No reply.
    #[error("no reply from the store to a read")]
    NoReply,
}

/// Failure to read changes.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FeedError {
    /// The changes after the given version are no longer available; the table has to be read again.
    #[error("the store no longer has the changes asked for")]
    HistoryLost,
    /// The store does not answer.
    #[error(transparent)]
    Store(#[from] StoreError),
}

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

/// What the operators changed.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// New configuration, with the version of its row.
    Config(Box<Config>, u64),
    /// The configuration row cannot be read; the one before stays.
    UnreadableConfig,
    /// A data centre is taken out of service or back.
    DataCentre {
        /// Data centre.
        name: CompactString,
        /// Out of service.
        is_out: bool,
    },
    /// A wave of upkeep is asked for, or withdrawn.
    Wave(u64, Option<Box<Wave>>),
    /// Row with another meaning.
    Other(CompactString),
}

/// Page of operators' changes.
pub type OperatorPage = Page<OperatorChange>;

/// What changed in the list of workers.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerChange {
    /// Entry of a worker.
    Listed(Box<WorkerEntry>),
    /// The entry of a worker is gone or cannot be read.
    Unlisted(CompactString),
}

/// Page of changes of workers.
pub type WorkerPage = Page<WorkerChange>;

/// Transactional store of the platform, with its lists of workers and of the operators' wishes.
#[expect(async_fn_in_trait, reason = "futures stay on the thread of the instance")]
pub trait Store: 'static {
    /// Commits a transaction and returns the version of the rows written.
    ///
    /// # Errors
    ///
    /// Returns [`TxnError`]; only [`TxnError::Unknown`] leaves open whether it took effect.
    async fn transact(&self, txn: &Txn) -> Result<u64, TxnError>;

    /// Makes a short call on a fresh connection to see whether the store answers.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if it does not.
    async fn probe(&self) -> Result<(), StoreError>;

    /// Reads own rows of a part from `from` up to but excluding `to`; empty bounds are open.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not answer.
    async fn read(&self, place: &Place, from: &str, to: &str) -> Result<RowsPage, StoreError>;

    /// Waits up to `wait_ms` for changes of own rows in all parts of a table after a version.
    ///
    /// # Errors
    ///
    /// Returns [`FeedError`].
    async fn changes(&self, table: &'static str, after: u64, wait_ms: u64) -> Result<RowsPage, FeedError>;

    /// Reads all that the operators want.
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

/// Where an order goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// IP address and port.
    pub address: CompactString,
    /// Id of the incarnation that the order is meant for.
    pub worker: CompactString,
    /// Epoch of the scheduler.
    pub epoch: u64,
}

/// Why a renewal brought no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RenewError {
    /// The worker saw a newer epoch.
    #[error("the worker saw a newer epoch")]
    Fenced,
    /// Another incarnation answers.
    #[error("another incarnation answers at the address")]
    OtherIncarnation,
    /// No report.
    #[error("no report from the worker")]
    NoReply,
}

/// Orders to workers.
#[expect(async_fn_in_trait, reason = "futures stay on the thread of the instance")]
pub trait Workers: Fleet {
    /// Starts a run; waits at most `limit` for the reply.
    async fn start(&self, target: &Target, order: &StartOrder, limit: Duration) -> StartOutcome;

    /// Stops a run or voids its start; returns whether the worker confirmed within `limit`.
    async fn stop(&self, target: &Target, what: &TaskRun, limit: Duration) -> bool;

    /// Renews the lease of everything on the worker and returns its report, within `limit` beyond `wait_ms`.
    ///
    /// # Errors
    ///
    /// Returns [`RenewError`] if there is no report.
    async fn renew(
        &self,
        target: &Target,
        lease_until_ms: Option<u64>,
        noted: u64,
        wait_ms: u64,
        limit: Duration,
    ) -> Result<WorkerReport, RenewError>;

    /// Sets the share at which a run works; returns whether the worker confirmed within `limit`.
    async fn pace(&self, target: &Target, what: &TaskRun, percent: u32, limit: Duration) -> bool;

    /// Closes channels to workers that are not among `addresses`.
    fn retain(&self, addresses: &HashSet<CompactString>);
}

/// Machines of the workers and the placement service.
#[expect(async_fn_in_trait, reason = "futures stay on the thread of the instance")]
pub trait Fleet: 'static {
    /// Reads the list of machines; `None` if it cannot be read.
    async fn machines(&self) -> Option<Vec<Machine>>;

    /// Takes a machine down for its upkeep in a wave, in the name of the holder of an epoch.
    async fn upkeep(&self, machine: &str, wave: u64, holder: &str, epoch: u64) -> UpkeepReply;

    /// Asks which of the workers may run a step; returns them with their tickets, `None` without an answer.
    async fn advise(&self, step: &str, workers: &[CompactString]) -> Option<Vec<(CompactString, CompactString)>>;
}
