use std::collections::{HashMap, VecDeque};

use model::{JobId, TaskId};

use crate::{LogEntry, LogPage};

/// Execution log and counts of starts of all workers in the process. Survives the death of a worker.
#[derive(Debug, Default)]
pub(super) struct Journal {
    entries: VecDeque<LogEntry>,
    next_sequence: u64,
    dropped: u64,
    starts: HashMap<(JobId, u16), u32>,
}

impl Journal {
    /// Most entries that are kept.
    const MAX_ENTRIES: usize = 2_000_000;
    /// Most entries in one page, so that a reply stays below about 32 MB.
    const MAX_PAGE: usize = 100_000;

    /// Counts a start of a part of a job; returns how many there were, this one included.
    pub fn count_start(&mut self, task: &TaskId) -> u32 {
        let starts = self.starts.entry((task.job.clone(), task.part)).or_default();
        *starts += 1;
        *starts
    }

    /// Appends an entry and numbers it.
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
