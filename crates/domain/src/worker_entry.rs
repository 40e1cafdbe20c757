use compact_str::CompactString;

use crate::Resources;

/// Whether a listed worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    /// It takes tasks.
    Ready,
    /// It leaves; the least time that it has left.
    Draining {
        /// Least time left.
        remaining_ms: u64,
    },
}

/// What a worker reports about itself in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Id of the worker's present incarnation or machine.
    pub id: CompactString,
    /// IP address and port.
    pub address: CompactString,
    /// Service.
    pub service: CompactString,
    /// Data centre.
    pub data_centre: CompactString,
    /// Rack.
    pub rack: CompactString,
    /// All labels, rack included.
    pub labels: Vec<CompactString>,
    /// Whole capacity.
    pub capacity: Resources,
    /// State.
    pub state: EntryState,
    /// Start of the worker's process since 1970; tells incarnations with one id apart.
    pub born_unix_ms: Option<u64>,
}
