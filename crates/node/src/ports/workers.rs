use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;
use domain::{StartCommand, StartOutcome, TaskRun, WorkerReport};

use super::{Fleet, RenewError, Target};

/// Orders to workers.
#[expect(async_fn_in_trait, reason = "futures stay on the thread of the instance")]
pub trait Workers: Fleet {
    /// Starts a run; waits at most `limit` for the reply.
    async fn start(&self, target: &Target, order: &StartCommand, limit: Duration) -> StartOutcome;

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
