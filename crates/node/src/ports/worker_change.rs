use compact_str::CompactString;
use domain::WorkerEntry;

use super::Page;

/// What changed in the list of workers.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerChange {
    /// Entry of a worker.
    Listed(Box<WorkerEntry>),
    /// The entry of a worker is gone or cannot be read.
    Unlisted(CompactString),
}

/// Page of changes of workers.
pub type WorkerPage = Page<WorkerChange>;
