use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::Step;

/// Accepted job. It does not change after it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id that the caller chose.
    pub id: CompactString,
    /// Queue of the job.
    pub route: CompactString,
    /// Service whose workers run the tasks.
    pub service: CompactString,
    /// Owner.
    pub organisation: CompactString,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task, and so the job, has failed.
    pub attempts: u32,
    /// Completion objective as a factor of the longest chain of work.
    pub objective_factor: f64,
    /// Constant part of the completion objective.
    pub objective_ms: u64,
    /// Payload for the workers, passed on unread.
    pub spec: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Occurrences of a scheduled job; 0 for a job that runs once, at once.
    #[serde(default)]
    pub times: u32,
    /// Due time of the first occurrence since 1970.
    #[serde(default)]
    pub first_run_unix_ms: u64,
    /// Time between occurrences.
    #[serde(default)]
    pub interval_ms: u64,
    /// Epoch of the scheduler when the row was inserted; an older scheduler must not start the job.
    pub accept_epoch: u64,
    /// When the job was accepted, by the clock of the accepting instance.
    pub accepted_unix_ms: u64,
}

impl Job {
    /// Returns the number of occurrences; a job that is not scheduled has one.
    pub const fn occurrences(&self) -> u32 {
        if self.times == 0 { 1 } else { self.times }
    }
}
