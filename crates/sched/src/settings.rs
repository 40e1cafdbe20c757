use model::Resources;

/// Time-outs, intervals and limits of a scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Time to live of slot leases of running work and of grants. Default 5,000 ms.
    pub slot_lease_ttl_ms: u64,
    /// Time to live of slot leases between reservation and start. Default 2,000 ms.
    pub reserve_lease_ttl_ms: u64,
    /// Interval of renewing the leases at a worker. Default 1,000 ms.
    pub worker_renew_interval_ms: u64,
    /// Time after which the driver reports a command to a worker as lost. Default 2,000 ms.
    pub worker_timeout_ms: u64,
    /// Time without a reply after which a worker is down. Default 4,000 ms, so that a failure is detected within the
    /// time to live of a slot lease.
    pub worker_down_ms: u64,
    /// Time that recovery waits for workers; those that do not reply are down. Default 1,000 ms.
    pub recovery_wait_ms: u64,
    /// Interval of polling the table for rows that no entry instance handed over. Default 5,000 ms.
    pub scan_interval_ms: u64,
    /// Time that a checkpoint may take before the task is stopped. Default 2,000 ms.
    pub checkpoint_grace_ms: u64,
    /// Time after which a failed store write is retried. Default 500 ms.
    pub write_retry_ms: u64,
    /// Time for which a worker keeps the reports of ended tasks. Default 600,000 ms.
    pub task_retention_ms: u64,
    /// Longest time that a planned stop waits for open reservations and writes. Default 5,000 ms.
    pub hand_over_wait_ms: u64,
    /// Maximum number of jobs whose records wait for the store; at the limit, nothing starts. Default 10,000 jobs.
    pub max_buffered_jobs: usize,
    /// Maximum number of store writes in flight; further ones wait. Default 256 writes.
    pub max_open_writes: usize,
    /// Memory for the large payloads of the jobs that the scheduler keeps. Default 8 MiB.
    pub payload_budget_bytes: u64,
    /// Resources that one grant reserves. Default one slot and one accelerator.
    pub grant_resources: Resources,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slot_lease_ttl_ms: 5_000,
            reserve_lease_ttl_ms: 2_000,
            worker_renew_interval_ms: 1_000,
            worker_timeout_ms: 2_000,
            worker_down_ms: 4_000,
            recovery_wait_ms: 1_000,
            scan_interval_ms: 5_000,
            checkpoint_grace_ms: 2_000,
            write_retry_ms: 500,
            task_retention_ms: 600_000,
            hand_over_wait_ms: 5_000,
            max_buffered_jobs: 10_000,
            max_open_writes: 256,
            payload_budget_bytes: 8 << 20,
            grant_resources: Resources::new(1, 1, 0, 0),
        }
    }
}
