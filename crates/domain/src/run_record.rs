use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::EndKind;

/// Durable record of a run that ended: what a charge traces back to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Task of the step.
    pub index: u32,
    /// Run.
    pub run: u64,
    /// Worker that ran it.
    pub worker: CompactString,
    /// How it ended.
    pub how: EndKind,
    /// No worker reported this end: its lease had surely lapsed, or its worker was gone. A report that comes later is
    /// recorded besides and prevails.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_assumed: bool,
    /// Accelerators that it held.
    pub accelerators: u64,
    /// Time from the order to the report of the end; `None` if an earlier epoch ordered it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran_ms: Option<u64>,
}
