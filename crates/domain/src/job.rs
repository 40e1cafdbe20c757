use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::Step;

/// Accepted job; immutable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id that the caller chose.
    pub id: CompactString,
    /// Name of its queue.
    pub route: CompactString,
    /// Service whose workers run the tasks.
    pub service: CompactString,
    /// Organisation that owns it.
    pub organisation: CompactString,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task, and so the job, has failed.
    pub attempts: u32,
    /// Completion objective as a factor of the critical path.
    pub objective_factor: f64,
    /// Constant part of the completion objective.
    pub objective_ms: u64,
    /// Payload for the workers, passed on unread.
    pub spec: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Number of occurrences of a scheduled job; 0 for a job that runs once, without delay.
    #[serde(default)]
    pub times: u32,
    /// Due time of the first occurrence, as Unix time.
    #[serde(default)]
    pub first_run_unix_ms: u64,
    /// Interval between occurrences.
    #[serde(default)]
    pub interval_ms: u64,
    /// Scheduler epoch when the row was inserted; a scheduler of an older epoch must not start the job.
    pub accept_epoch: u64,
    /// When the job was accepted, by the clock of the accepting instance.
    pub accepted_unix_ms: u64,
}

impl Job {
    /// Returns the number of occurrences; a job that is not scheduled has one.
    pub const fn occurrences(&self) -> u32 {
        if self.times == 0 { 1 } else { self.times }
    }

    /// Returns the number of the first task of an occurrence, where the tasks of all occurrences are counted step by step.
    pub fn first_task_number(&self, occurrence: u32) -> usize {
        let tasks: usize = self.steps.iter().map(|step| step.count as usize).sum();
        occurrence as usize * tasks
    }
}
