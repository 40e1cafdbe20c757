use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Durable fact about a maintenance wave. A successor continues the wave from these facts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveFact {
    /// The wave began; its time is counted from then on.
    Began {
        /// Unix time.
        unix_ms: u64,
    },
    /// The maintenance command for a machine may have been sent; written before it is sent.
    Commanded,
    /// The maintenance of a machine is over.
    Maintained,
}

/// Row about a maintenance wave or about one of its machines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveRow {
    /// Number of the wave.
    pub wave: u64,
    /// Machine that the fact is about; `None` if it is about the wave.
    pub machine: Option<CompactString>,
    /// Fact.
    pub fact: WaveFact,
}
