use compact_str::CompactString;

use crate::Resources;

/// Whether a listed worker accepts new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// It accepts tasks.
    Ready,
    /// It is draining and will exit.
    Draining {
        /// Minimum time until it exits.
        remaining_ms: u64,
    },
}

/// Entry of a worker in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Id of the worker's current incarnation or of its machine.
    pub id: CompactString,
    /// IP address and port.
    pub address: CompactString,
    /// Service.
    pub service: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Rack.
    pub rack: CompactString,
    /// All labels, including the rack.
    pub labels: Vec<CompactString>,
    /// Total capacity.
    pub capacity: Resources,
    /// State.
    pub state: EntryState,
    /// Start of the worker process as Unix time; distinguishes incarnations with the same id.
    pub process_started_unix_ms: Option<u64>,
}
