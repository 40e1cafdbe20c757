/// Resource that a maximum limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// CPU in thousandths of a core.
    Cpu,
    /// Memory in MiB.
    Memory,
    /// Whole accelerators.
    Accelerators,
}

impl Resource {
    /// Returns the name with its unit as it appears in logs.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Cpu => "cpu_milli",
            Self::Memory => "memory_mib",
            Self::Accelerators => "accelerators",
        }
    }
}

/// Resource of which an organisation would have more running than its maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Excess {
    /// Resource.
    pub resource: Resource,
    /// Amount in use.
    pub in_use: u64,
    /// Maximum.
    pub limit: u64,
}
