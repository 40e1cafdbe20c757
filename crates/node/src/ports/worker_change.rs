use compact_str::CompactString;
use domain::WorkerEntry;

use super::Page;

/// Change of the list of workers.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerChange {
    /// A worker's entry was added or changed.
    Listed(Box<WorkerEntry>),
    /// A worker's entry was removed or cannot be decoded.
    Unlisted(CompactString),
}

/// Page of changes of the list of workers.
pub type WorkerPage = Page<WorkerChange>;
