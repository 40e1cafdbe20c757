use std::collections::{HashMap, VecDeque};

use model::{JobId, TaskId};

use crate::{LogEntry, LogPage};

/// Execution log and start counts of all workers in the process; kept when a worker is killed.
#[derive(Debug, Default)]
pub(super) struct ExecutionLog {
    entries: VecDeque<LogEntry>,
    next_sequence: u64,
    dropped: u64,
    starts: HashMap<(JobId, u16), u32>,
}

impl ExecutionLog {
    /// Maximum number of entries kept.
    const MAX_ENTRIES: usize = 2_000_000;
    /// Maximum number of entries in a page; keeps a reply below about 32 MB.
    const MAX_PAGE: usize = 100_000;

    /// Counts a start of a part of a job; returns the number of its starts, this one included.
    pub fn count_start(&mut self, task: &TaskId) -> u32 {
        let starts = self.starts.entry((task.job.clone(), task.part)).or_default();
        *starts += 1;
        *starts
    }

    /// Appends an entry and assigns its sequence number.
    pub fn append(&mut self, mut entry: LogEntry) {
        self.next_sequence += 1;
        entry.sequence = self.next_sequence;
        if self.entries.len() == Self::MAX_ENTRIES {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(entry);
    }

    pub fn page(&self, after: u64) -> LogPage {
        let first = self.entries.partition_point(|entry| entry.sequence <= after);
        LogPage {
            entries: self.entries.range(first..).take(Self::MAX_PAGE).cloned().collect(),
            dropped: self.dropped,
        }
    }
}
