use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;
use domain::{StartCommand, StartOutcome, TaskRun, WorkerReport};

use super::{Fleet, RenewError, Target};

/// Commands to workers.
#[expect(async_fn_in_trait, reason = "futures stay on the thread of the instance")]
pub trait Workers: Fleet {
    /// Starts a run; waits at most `timeout` for the reply.
    async fn start(&self, target: &Target, command: &StartCommand, timeout: Duration) -> StartOutcome;

    /// Stops a run or voids its start; returns whether the worker confirmed within `timeout`.
    async fn stop(&self, target: &Target, task_run: &TaskRun, timeout: Duration) -> bool;

    /// Renews the leases of all runs on the worker and returns its report. The worker may delay the reply by `wait_ms`;
    /// `margin` is the time-out beyond that. `acked` is the newest run end that is durable.
    ///
    /// # Errors
    ///
    /// Returns [`RenewError`] if there is no report.
    async fn renew(
        &self,
        target: &Target,
        lease_until_ms: Option<u64>,
        acked: u64,
        wait_ms: u64,
        margin: Duration,
    ) -> Result<WorkerReport, RenewError>;

    /// Throttles a run to a share in percent; returns whether the worker confirmed within `timeout`.
    async fn throttle(&self, target: &Target, task_run: &TaskRun, percent: u32, timeout: Duration) -> bool;

    /// Closes channels to workers whose addresses are not in `addresses`.
    fn retain(&self, addresses: &HashSet<CompactString>);
}
