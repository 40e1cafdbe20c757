use compact_str::CompactString;
use domain::WaveProgress;

use super::{Condition, Place, Put};

/// Atomic transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Versions that rows must have.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Progress of maintenance waves to publish to operators.
    pub waves: Vec<(u64, WaveProgress)>,
    /// Rows to remove.
    pub removes: Vec<(Place, CompactString)>,
}

impl Txn {
    /// Returns whether the transaction touches more than one part.
    pub fn spans_parts(&self) -> bool {
        let conditions = self.conditions.iter().map(|condition| &condition.place.part);
        let puts = self.puts.iter().map(|put| &put.place.part);
        let removes = self.removes.iter().map(|(place, _)| &place.part);
        let mut parts = conditions.chain(puts).chain(removes);
        let first = parts.next();
        parts.any(|part| Some(part) != first) || !self.waves.is_empty()
    }
}
