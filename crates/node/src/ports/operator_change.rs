use compact_str::CompactString;
use domain::{Config, Wave};

use super::Page;

/// What the operators changed.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorChange {
    /// New configuration, with the version of its row.
    Config(Box<Config>, u64),
    /// The configuration row cannot be read; the one before stays.
    UnreadableConfig,
    /// A data centre is taken out of service or back.
    DataCentre {
        /// Data centre.
        name: CompactString,
        /// Out of service.
        is_out: bool,
    },
    /// A wave of upkeep is asked for, or withdrawn.
    Wave(u64, Option<Box<Wave>>),
    /// Row with another meaning.
    Other(CompactString),
}

/// Page of operators' changes.
pub type OperatorPage = Page<OperatorChange>;
