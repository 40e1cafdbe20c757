use serde::{Deserialize, Serialize};

/// Strength of the evidence that a worker crashed under a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvidence {
    /// The start had not been confirmed, or the run may have ended before the crash.
    Unconfirmed,
    /// The worker had confirmed the start or listed the run.
    Confirmed,
    /// The worker crashed right after it had confirmed the start.
    Early,
}

/// Workers that crashed while a task ran on them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// All of them, also those on which the task may not have run.
    pub total: u32,
    /// Those on which the task certainly ran.
    #[serde(default)]
    pub confirmed: u32,
    /// Those that crashed right after they had confirmed the start of the task.
    #[serde(default)]
    pub early: u32,
}

impl TaskCrashes {
    /// Number of early crashes after which the task is given up. A worker that crashes right after a start is strong
    /// evidence against the tasks that had just started there, and these do not start together again.
    const MAX_EARLY: u32 = 2;

    /// Number of confirmed crashes without which a task is not given up while it may start again.
    const MIN_CONFIRMED: u32 = 2;

    /// Number of crashes after which the task is given up if enough of them are confirmed.
    const MAX_TOTAL: u32 = 3;

    /// Number of crashes after which the task is given up in any case: the platform allows two starts after three
    /// crashes, and a takeover may have hidden one.
    const MAX_UNCONFIRMED: u32 = 4;

    /// Adds a crash.
    pub fn add(&mut self, evidence: CrashEvidence) {
        self.total += 1;
        self.confirmed += u32::from(evidence != CrashEvidence::Unconfirmed);
        self.early += u32::from(evidence == CrashEvidence::Early);
    }

    /// Returns whether the task may be the cause of the crashes, so that it must be kept apart from other work.
    pub const fn is_suspect(&self) -> bool {
        self.early + 1 >= Self::MAX_EARLY || self.total + 1 >= Self::MAX_TOTAL
    }

    /// Returns whether the task must not start again.
    pub const fn is_exhausted(&self) -> bool {
        self.early >= Self::MAX_EARLY
            || (self.confirmed >= Self::MIN_CONFIRMED && self.total >= Self::MAX_TOTAL)
            || self.total >= Self::MAX_UNCONFIRMED
    }
}
