use std::collections::VecDeque;

use model::InstanceId;

use crate::{Event, Record};

/// Ring buffer of the newest events of a process.
#[derive(Debug)]
pub struct Ring {
    process: InstanceId,
    capacity: usize,
    next_sequence: u64,
    records: VecDeque<Record>,
}

impl Ring {
    /// Creates an empty buffer that keeps the newest `capacity` events; with a capacity of 0 it only counts them.
    pub fn new(process: InstanceId, capacity: usize) -> Self {
        Self {
            process,
            capacity,
            next_sequence: 1,
            records: VecDeque::new(),
        }
    }

    /// Appends an event and drops the oldest one if the buffer is full.
    pub fn push(&mut self, at_unix_ms: u64, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.capacity == 0 {
            return;
        }
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(Record {
            process: self.process.clone(),
            sequence,
            at_unix_ms,
            event,
        });
    }

    /// Returns the number of events that were dropped.
    pub fn dropped(&self) -> u64 {
        self.next_sequence - 1 - self.records.len() as u64
    }

    /// Returns the kept events with a sequence number above `sequence`.
    pub fn after(&self, sequence: u64) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |record| record.sequence > sequence)
    }
}
