use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::EndKind;

/// Durable record of an ended run, to which charges can be traced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Index of the task in the step.
    pub index: u32,
    /// Run number.
    pub run: u64,
    /// Worker that ran it.
    pub worker: CompactString,
    /// How the run ended.
    pub how: EndKind,
    /// Whether the end is assumed: no worker reported it, but the lease had certainly expired or the worker no longer
    /// existed. A later report is recorded as well and takes precedence.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_assumed: bool,
    /// Accelerators that the run held.
    pub accelerators: u64,
    /// Time from the start command to the report of the run end; `None` if an earlier epoch sent the command.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran_ms: Option<u64>,
}
