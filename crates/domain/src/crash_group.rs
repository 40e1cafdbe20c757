use serde::{Deserialize, Serialize};

use crate::{TaskBits, TaskCrashes};

/// Tasks of a step under which the same number of workers crashed.
///
/// A crash of a worker counts for each task that ran there, so that thousands of tasks often have equal counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashGroup {
    /// Crashes under each of the tasks.
    pub crashes: TaskCrashes,
    /// Indices of the tasks in the step.
    pub tasks: TaskBits,
}
