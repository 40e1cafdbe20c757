use serde::{Deserialize, Serialize};

/// Amounts of a worker's resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Price of one accelerator in cores, as the users charge it.
    const CORES_PER_ACCELERATOR: u64 = 8;

    /// Returns whether all amounts fit into `room`.
    pub const fn fits(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli && self.memory_mib <= room.memory_mib && self.accelerators <= room.accelerators
    }

    /// Returns the sum.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns the difference; amounts do not go below zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns how often the amounts fit into `room`.
    pub const fn times_in(&self, room: &Self) -> u64 {
        let mut times = u64::MAX;
        if let Some(n) = room.cpu_milli.checked_div(self.cpu_milli) {
            times = n;
        }
        if let Some(n) = room.memory_mib.checked_div(self.memory_mib)
            && n < times
        {
            times = n;
        }
        if let Some(n) = room.accelerators.checked_div(self.accelerators)
            && n < times
        {
            times = n;
        }
        times
    }

    /// Returns the amounts as thousandths of a core, with accelerators at their price in cores.
    pub const fn weight_milli(&self) -> u64 {
        self.cpu_milli + self.accelerators * Self::CORES_PER_ACCELERATOR * 1_000
    }
}
