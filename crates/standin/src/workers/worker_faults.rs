use serde::{Deserialize, Serialize};

/// Faults of a worker that last until replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent of each other")]
pub struct WorkerFaults {
    /// Whether commands are refused with status 503.
    pub refuse: bool,
    /// Whether commands get no reply; they take effect when the fault ends, as after a pause of the process.
    pub freeze: bool,
    /// Whether every task fails at its end.
    pub fail_tasks: bool,
    /// Delay of each command, in milliseconds.
    pub slow_ms: u64,
    /// Factor on the run time of tasks that start while the fault is set, in percent.
    pub run_percent: u32,
    /// Whether the worker is draining: it grants no new leases.
    pub leaving: bool,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            refuse: false,
            freeze: false,
            fail_tasks: false,
            slow_ms: 0,
            run_percent: 100,
            leaving: false,
        }
    }
}
