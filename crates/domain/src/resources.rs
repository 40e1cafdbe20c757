use serde::{Deserialize, Serialize};

/// Amounts of resources of a worker or task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Price of an accelerator in cores, as used for charging.
    const CORES_PER_ACCELERATOR: u64 = 8;

    /// Returns whether all amounts fit into `capacity`.
    pub const fn fits(&self, capacity: &Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
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

    /// Returns the difference; each amount saturates at zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns what is left of this capacity beside `used`: nothing if more is used than there is of any amount, since a
    /// capacity may shrink below what is in use.
    #[must_use]
    pub const fn left_beside(&self, used: &Self) -> Self {
        if used.fits(self) {
            self.minus(used)
        } else {
            Self {
                cpu_milli: 0,
                memory_mib: 0,
                accelerators: 0,
            }
        }
    }

    /// Returns how many times the amounts fit into `capacity`; `u64::MAX` if all are zero.
    pub const fn times_in(&self, capacity: &Self) -> u64 {
        let mut times = u64::MAX;
        if let Some(n) = capacity.cpu_milli.checked_div(self.cpu_milli) {
            times = n;
        }
        if let Some(n) = capacity.memory_mib.checked_div(self.memory_mib)
            && n < times
        {
            times = n;
        }
        if let Some(n) = capacity.accelerators.checked_div(self.accelerators)
            && n < times
        {
            times = n;
        }
        times
    }

    /// Returns CPU and accelerators in thousandths of a core, with accelerators at their price in cores.
    pub const fn weight_milli(&self) -> u64 {
        self.cpu_milli + self.accelerators * Self::CORES_PER_ACCELERATOR * 1_000
    }
}

impl From<shares::Amounts> for Resources {
    fn from(amounts: shares::Amounts) -> Self {
        Self {
            cpu_milli: amounts.cpu_milli,
            memory_mib: amounts.memory_mib,
            accelerators: amounts.accelerators,
        }
    }
}

impl From<Resources> for shares::Amounts {
    fn from(resources: Resources) -> Self {
        Self {
            cpu_milli: resources.cpu_milli,
            memory_mib: resources.memory_mib,
            accelerators: resources.accelerators,
        }
    }
}
