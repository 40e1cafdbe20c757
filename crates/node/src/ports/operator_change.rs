use compact_str::CompactString;
use domain::{Config, Wave};

use super::Page;

/// Change made by the operators.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// New configuration, with the version of its row.
    Config(Box<Config>, u64),
    /// The configuration row cannot be decoded; the previous configuration stays in force.
    UnreadableConfig,
    /// A data centre is taken out of service or put back into service.
    DataCentre {
        /// Data centre.
        name: CompactString,
        /// Whether it is out of service.
        is_out: bool,
    },
    /// A maintenance wave is requested, or withdrawn (`None`).
    Wave(u64, Option<Box<Wave>>),
    /// The row of a maintenance wave cannot be decoded; a wave that is open under this number stays so.
    UnreadableWave(u64),
    /// Key of a row that the instance does not use.
    Other(CompactString),
}

/// Page of operators' changes.
pub type OperatorPage = Page<OperatorChange>;
